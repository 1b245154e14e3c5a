package lacewingweir.transport.http

import io.netty.handler.codec.http.HttpHeaders

/**
 * An HTTP request.
 *
 * @property freshConnection whether to open a new connection, because the server may have closed a pooled one meanwhile
 * @property connectTimeoutMillis the longest wait for a new connection to be established
 * @property headTimeoutMillis the longest wait for the head of the response after the request was sent
 * @property mayGiveUp called after [headTimeoutMillis]; if it returns false, the wait goes on until it is cancelled
 * @property id identifies the request to a server that names it in the response, or null if the server doesn't. It may
 *   be that of an earlier send of the same call, so a connection carries it once only
 * @property responseId returns the id that the headers of a response name, or null if they don't name exactly one.
 *   Responses to other requests to the same address are skipped
 * @property onSend called once a connection is found, just before the request is written to it
 * @property onSkipped called for each response to another request that is skipped before the answer
 * @property preserveHostHeader whether to send the `Host` header of [headers] rather than one made from [host] and
 *   [port]
 */
public class ClientRequest(
    public val host: String,
    public val port: Int,
    public val method: String,
    public val path: String,
    public val headers: List<Pair<String, String>> = emptyList(),
    public val body: ByteArray = ByteArray(0),
    public val freshConnection: Boolean = false,
    public val connectTimeoutMillis: Long = 1_000,
    public val headTimeoutMillis: Long = 30_000,
    public val mayGiveUp: () -> Boolean = { true },
    public val id: String? = null,
    public val responseId: (HttpHeaders) -> String? = { null },
    public val onSend: (ConnectionUse) -> Unit = {},
    public val onSkipped: () -> Unit = {},
    public val preserveHostHeader: Boolean = false,
) {
    internal val address: String
        get() = "$host:$port"
}
