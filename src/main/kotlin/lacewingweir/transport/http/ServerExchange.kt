package lacewingweir.transport.http

import io.netty.handler.codec.http.HttpHeaders

/**
 * One request on a server connection and the means to answer it.
 *
 * Exactly one answer is sent: either [respond], or [startStream] followed by [write] and [finish]. All calls that
 * write suspend while the peer reads slowly, and throw [PeerClosedException] once the peer is gone.
 */
public interface ServerExchange {
    /** The request method in upper case. */
    public val method: String

    /** The decoded path without the query. */
    public val path: String

    /** The path as received, without the query. Percent escapes are kept, so it can be passed on unchanged. */
    public val rawPath: String
        get() = path

    /** The request target as received: path and query, unchanged. */
    public val target: String
        get() = if (query.isEmpty()) rawPath else "$rawPath?$query"

    /** The raw query string without the question mark; empty if there is none. */
    public val query: String

    /** The request headers as received. */
    public val headers: HttpHeaders

    /** The whole request body. */
    public val body: ByteArray

    /** When the request's head had arrived, as [System.nanoTime]. */
    public val arrivedAtNanos: Long
        get() = System.nanoTime()

    /** Whether any byte of an answer was handed to the connection. */
    public val responseStarted: Boolean

    /** Sends a whole answer. */
    public suspend fun respond(
        status: Int,
        headers: List<Pair<String, String>> = emptyList(),
        body: ByteArray = ByteArray(0),
    )

    /** Sends the head of an answer whose body follows in chunks. */
    public suspend fun startStream(
        status: Int,
        headers: List<Pair<String, String>> = emptyList(),
    )

    /** Sends a chunk of a streamed answer. */
    public suspend fun write(chunk: ByteArray)

    /** Ends a streamed answer, so that the peer sees it as whole. */
    public suspend fun finish()

    /** Closes the connection at once. A streamed answer in progress is then visibly truncated. */
    public fun abort()

    /** Calls [action] once when the peer disconnects before the answer is complete. */
    public fun onDisconnect(action: () -> Unit)
}
