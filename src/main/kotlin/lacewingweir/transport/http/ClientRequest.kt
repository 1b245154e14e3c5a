package lacewingweir.transport.http

import io.netty.handler.codec.http.HttpHeaders

/**
 * A request to an endpoint or to the platform.
 *
 * [freshConnection] forbids the use of a pooled connection, which the peer may have closed meanwhile.
 * [headTimeoutMillis] bounds the wait for the head of the answer after the request was sent. Answers that
 * [acceptsResponse] rejects belong to an earlier request of the connection and are skipped. [preserveHostHeader] leaves a `Host`
 * header of [headers] as it is.
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
    public val acceptsResponse: (HttpHeaders) -> Boolean = { true },
    public val preserveHostHeader: Boolean = false,
)
