package lacewingweir.platform

import io.netty.handler.codec.http.HttpHeaderNames
import lacewingweir.state.id.WeightsNumber
import lacewingweir.transport.http.ClientRequest
import lacewingweir.transport.http.ClientResponse
import lacewingweir.transport.relay.AnswerHead
import lacewingweir.transport.relay.EndpointProtocol
import lacewingweir.transport.relay.InboundCall
import lacewingweir.transport.relay.OutboundCall

/** Encodes requests to endpoints, and decodes their responses, with the headers of the platform. */
internal object PlatformEndpointProtocol : EndpointProtocol {
    override fun request(send: OutboundCall): ClientRequest {
        val call = send.call
        val headers = ArrayList(call.headers)
        headers += PlatformHeaders.REMAINING_MILLIS to send.remainingMillis.toString()
        headers += PlatformHeaders.EXPECTED_ENDPOINT to send.endpoint.id.value
        send.customer?.let { headers += PlatformHeaders.CUSTOMER to it.value }
        send.cacheSalt?.let { headers += PlatformHeaders.CACHE_SALT to it }
        send.weights?.let { headers += PlatformHeaders.EXPECTED_WEIGHTS to it.toString() }
        send.priority?.let { headers += PlatformHeaders.PRIORITY to it.coerceIn(0, LEAST_URGENT_PRIORITY).toString() }
        send.resumeAfter?.let { headers += PlatformHeaders.LAST_EVENT_ID to it }
        send.cacheSource?.let { headers += PlatformHeaders.PREFIX_SOURCE to it.address }
        send.cacheCopy?.let { copy ->
            headers += PlatformHeaders.CONTINUED_COPY to "${copy.source.address}/${copy.handle}"
        }
        return ClientRequest(
            host = send.endpoint.host,
            port = send.endpoint.port,
            method = call.method,
            path = call.target,
            headers = headers,
            body = call.body,
            connectTimeoutMillis = minOf(send.remainingMillis, CONNECT_TIMEOUT_MILLIS),
            headTimeoutMillis = send.headTimeoutMillis,
            acceptsResponse = { it.get(PlatformHeaders.REQUEST_ID)?.let { id -> id == call.id.value } ?: true },
            preserveHostHeader = true,
        )
    }

    override fun head(
        call: InboundCall,
        response: ClientResponse,
    ): AnswerHead {
        val headers = response.headers
        return AnswerHead(
            status = response.status,
            notRun = headers.contains(PlatformHeaders.NOT_RUN) || response.status == MISDIRECTED_REQUEST,
            matchesRequest = headers.get(PlatformHeaders.REQUEST_ID) == call.id.value,
            contentEncoded = headers.contains(HttpHeaderNames.CONTENT_ENCODING),
            eventStream = headers.get(HttpHeaderNames.CONTENT_TYPE)?.startsWith("text/event-stream") == true,
            weights = headers.get(PlatformHeaders.WEIGHTS)?.toLongOrNull()?.let(::WeightsNumber),
            headers =
                headers
                    .entries()
                    .filter {
                        it.key.lowercase() !in HopByHopHeaders.names
                    }.map { it.key to it.value },
        )
    }

    private const val MISDIRECTED_REQUEST = 421
    private const val LEAST_URGENT_PRIORITY = 9

    /**
     * Reachable endpoints accept a connection within a few milliseconds. A longer timeout would help against a lost
     * SYN packet only from one second on, when the packet is retransmitted.
     */
    const val CONNECT_TIMEOUT_MILLIS: Long = 400
}

/** Headers that apply to a single connection and are not forwarded. */
internal object HopByHopHeaders {
    val names =
        setOf(
            "connection",
            "keep-alive",
            "proxy-connection",
            "proxy-authenticate",
            "proxy-authorization",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "content-length",
            "expect",
        )
}
