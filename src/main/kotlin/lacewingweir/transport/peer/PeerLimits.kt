package lacewingweir.transport.peer

/**
 * Limits of the connections between instances.
 *
 * A connection without any received frame for [idleTimeoutMillis] is closed; heartbeats keep it open. An address that is no
 * seed and that could not be reached for [unreachableExpiryMillis] is dropped, because instances are replaced under new names.
 */
public data class PeerLimits(
    val connectTimeoutMillis: Long = 2_000,
    val handshakeTimeoutMillis: Long = 3_000,
    val idleTimeoutMillis: Long = 15_000,
    val minBackoffMillis: Long = 100,
    val maxBackoffMillis: Long = 5_000,
    val unreachableExpiryMillis: Long = 600_000,
    val maxQueuedFrames: Int = 512,
    val maxQueuedBytes: Long = 4L shl 20,
    val maxPendingHandshakes: Int = 256,
    val maxKnownAddresses: Int = 4_096,
)
