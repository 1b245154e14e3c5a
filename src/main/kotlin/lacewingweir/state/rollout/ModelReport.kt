package lacewingweir.state.rollout

import lacewingweir.state.id.WeightsVersion

/** Weights that an engine reports for a model. While [loading] is true it doesn't serve the model. */
public data class ModelReport(
    val weights: WeightsVersion,
    val loading: Boolean,
)
