package lacewingweir.state.rollout

import lacewingweir.state.id.EndpointId
import lacewingweir.state.id.ModelName
import lacewingweir.state.id.WeightsVersion

/** A command that an engine shall load [weights] of [model]. */
public data class PlannedLoad(
    val engine: EndpointId,
    val model: ModelName,
    val weights: WeightsVersion,
)
