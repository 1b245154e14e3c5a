package lacewingweir.transport.http

/**
 * Bounds on what one connection may make the server hold or wait for.
 *
 * A request that exceeds a size is answered with 413 or 431; a sender that is silent for [idleReadMillis] in the
 * middle of a request is answered with 408. A reader that takes nothing for [writeStallMillis] is disconnected.
 */
public data class HttpLimits(
    val maxBodyBytes: Int = 4 * 1024 * 1024,
    val maxHeaderBytes: Int = 32 * 1024,
    val maxLineBytes: Int = 8 * 1024,
    val idleReadMillis: Long = 10_000,
    val writeStallMillis: Long = 30_000,
    val maxPipelinedRequests: Int = 4,
)
