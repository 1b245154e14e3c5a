package lacewingweir.coordination.rollout

import lacewingweir.state.id.Incarnation

/** The status that an engine reports. [running] and [waiting] are numbers of requests. */
public data class EngineStatus(
    val incarnation: Incarnation,
    val leaving: Boolean,
    val running: Int,
    val waiting: Int,
    val models: List<LoadedModel>,
)
