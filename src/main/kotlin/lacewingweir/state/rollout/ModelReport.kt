package lacewingweir.state.rollout

import lacewingweir.state.id.WeightsVersion

/** The weights that an engine reports for a model. While [loading] is true, the engine doesn't serve the model. */
public data class ModelReport(
    val weights: WeightsVersion,
    val loading: Boolean,
)
