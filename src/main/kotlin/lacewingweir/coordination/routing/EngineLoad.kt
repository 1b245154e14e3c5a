package lacewingweir.coordination.routing

/** The load that an engine reports. [prefillTokens] is the number of prompt tokens that it still has to compute. */
public data class EngineLoad(
    val running: Int,
    val waiting: Int,
    val prefillTokens: Long,
)
