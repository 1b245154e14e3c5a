package lacewingweir.transport.peer

/**
 * Limits on the connections between instances.
 *
 * @property connectTimeoutMillis the longest time to establish a TCP connection
 * @property handshakeTimeoutMillis the longest time for the hello and the proof of both sides
 * @property idleTimeoutMillis a connection on which no frame was received for this time is closed; heartbeats keep it
 *   open
 * @property minBackoffMillis the delay before a peer is dialed again after the first attempt; doubled for each further
 *   one
 * @property maxBackoffMillis the upper bound of that delay, before jitter
 * @property unreachableExpiryMillis an address that could not be reached for this time is removed unless it is a seed,
 *   because instances are replaced under new names
 * @property maxQueuedFrames the largest number of frames in the send queue of a connection
 * @property maxQueuedBytes the largest total size of these frames
 * @property maxPendingHandshakes the largest number of accepted connections that are not authenticated yet; others are
 *   closed
 * @property maxKnownAddresses the largest number of addresses to dial; further ones are ignored
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
