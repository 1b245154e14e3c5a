package lacewingweir.coordination.routing

/** Load that an engine reports of itself. [prefillTokens] are prompt tokens that it has still to compute. */
public data class EngineLoad(
    val running: Int,
    val waiting: Int,
    val prefillTokens: Long,
)
