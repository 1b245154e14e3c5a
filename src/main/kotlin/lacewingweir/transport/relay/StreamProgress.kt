package lacewingweir.transport.relay

import lacewingweir.state.stream.StreamOrigin
import lacewingweir.transport.http.ServerExchange

/** Forwards an event stream to the caller and records its progress, across all endpoints that produce it. */
internal class StreamProgress(
    private val exchange: ServerExchange,
) {
    /** Id of the last event sent to the caller. */
    var lastId: String? = null
        private set

    /** The number in [lastId], by which events before it can be told, or null if it is none. */
    val lastNumber: Long?
        get() = lastId?.toLongOrNull()

    /** Time of [System.nanoTime] at which the first event was forwarded, or zero before. */
    var firstEventAtNanos: Long = 0
        private set

    /** Longest interval between two calls of [forward], in milliseconds. */
    var longestPauseMillis: Long = 0
        private set
    private var lastEventAtNanos = 0L

    val started: Boolean
        get() = firstEventAtNanos != 0L

    /** Where the stream began, in this call or in the one that it continues; null before its first event. */
    var origin: StreamOrigin? = null

    /**
     * Sends complete [events] to the caller. [upToId] is the last event id received so far, if any.
     *
     * The first call sends the status and headers of [head] before them.
     */
    suspend fun forward(
        head: ResponseHead,
        events: ByteArray,
        upToId: String?,
    ) {
        val now = System.nanoTime()
        if (started) longestPauseMillis = maxOf(longestPauseMillis, (now - lastEventAtNanos) / NANOS_PER_MILLI)
        lastEventAtNanos = now
        if (!started) {
            firstEventAtNanos = now
            exchange.startStream(head.status, head.headers)
        }
        exchange.write(events)
        if (upToId != null) lastId = upToId
    }

    private companion object {
        const val NANOS_PER_MILLI: Long = 1_000_000
    }
}
