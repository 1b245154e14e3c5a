package lacewingweir.coordination.rollout

import lacewingweir.state.id.ModelName
import lacewingweir.state.id.WeightsVersion

/** A model on an engine. While [loading] is true, the engine doesn't serve the model. */
public data class LoadedModel(
    val name: ModelName,
    val weights: WeightsVersion,
    val loading: Boolean,
)
