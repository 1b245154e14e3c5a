package lacewingweir.state.rollout

import lacewingweir.state.id.EndpointId
import lacewingweir.state.id.ModelName
import lacewingweir.state.id.WeightsVersion

/** A load of [weights] of [model] on [engine], as planned by [RolloutPlanner]. */
public data class PlannedLoad(
    val engine: EndpointId,
    val model: ModelName,
    val weights: WeightsVersion,
)
