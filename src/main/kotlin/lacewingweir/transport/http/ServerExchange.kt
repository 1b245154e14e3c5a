package lacewingweir.transport.http

import io.netty.handler.codec.http.HttpHeaders

/**
 * A request on a server connection, and its response.
 *
 * Exactly one response must be sent: either with [respond], or with [startStream] followed by [write] and [finish].
 * These functions throw [PeerClosedException] if the client has disconnected. They suspend before a part that would
 * exceed what may be held for clients that read slowly, see [HeldBytes]. What was added is delivered even if the
 * handler ends or is cancelled after that.
 */
public interface ServerExchange {
    /** The request method in upper case. */
    public val method: String

    /** The decoded path without the query. */
    public val path: String

    /** The path as received, without the query. Percent-encoding is kept, so that it can be forwarded unchanged. */
    public val rawPath: String
        get() = path

    /** The request target as received: path and query, unchanged. */
    public val target: String
        get() = if (query.isEmpty()) rawPath else "$rawPath?$query"

    /** The undecoded query string without the question mark, or an empty string if there is none. */
    public val query: String

    /** The request headers as received. */
    public val headers: HttpHeaders

    /**
     * The whole request body.
     *
     * @throws IllegalStateException if the handler of the request has ended
     */
    public val body: ByteArray

    /** The [System.nanoTime] at which the head of the request had arrived. */
    public val arrivedAtNanos: Long
        get() = System.nanoTime()

    /** Whether a response was started. */
    public val responseStarted: Boolean

    /** Sends a complete response. */
    public suspend fun respond(
        status: Int,
        headers: List<Pair<String, String>> = emptyList(),
        body: ByteArray = ByteArray(0),
    )

    /** Sends the head of a response whose body follows in chunks. */
    public suspend fun startStream(
        status: Int,
        headers: List<Pair<String, String>> = emptyList(),
    )

    /** Sends a chunk of a streamed response. */
    public suspend fun write(chunk: ByteArray)

    /** Marks a streamed response as complete. */
    public suspend fun finish()

    /** Closes the connection behind what was added. The client can tell that a streamed response is truncated. */
    public fun abort()

    /** Calls [action] once if the client disconnects before the response is complete. */
    public fun onDisconnect(action: () -> Unit)
}
