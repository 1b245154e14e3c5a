package lacewingweir.protocol.openai

/** Token counts of a complete answer. [cachedTokens] is null if the engine doesn't report it. */
public data class Usage(
    val promptTokens: Long,
    val completionTokens: Long,
    val cachedTokens: Long?,
)
