package lacewingweir.coordination.rollout

import lacewingweir.state.id.Incarnation

/** What an engine reports of itself. */
public data class EngineStatus(
    val incarnation: Incarnation,
    val leaving: Boolean,
    val running: Int,
    val waiting: Int,
    val models: List<LoadedModel>,
)
