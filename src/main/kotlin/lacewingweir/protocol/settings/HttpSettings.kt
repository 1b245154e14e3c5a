package lacewingweir.protocol.settings

/** Bounds on what one caller connection may make an instance hold or wait for. */
public data class HttpSettings(
    val maxBodyBytes: Int = 4 * 1024 * 1024,
    val maxHeaderBytes: Int = 32 * 1024,
    val maxLineBytes: Int = 8 * 1024,
    val idleReadMillis: Long = 10_000,
    val writeStallMillis: Long = 30_000,
    val maxPipelinedRequests: Int = 4,
)
