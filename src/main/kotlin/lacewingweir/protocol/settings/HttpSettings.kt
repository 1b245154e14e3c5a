package lacewingweir.protocol.settings

/** Limits on the memory that one caller connection can use on an instance, and on the time for which it may stall. */
public data class HttpSettings(
    val maxBodyBytes: Int = 4 * 1024 * 1024,
    val maxHeaderBytes: Int = 32 * 1024,
    val maxLineBytes: Int = 8 * 1024,
    val idleReadMillis: Long = 10_000,
    val writeStallMillis: Long = 30_000,
    val maxPipelinedRequests: Int = 4,
)
