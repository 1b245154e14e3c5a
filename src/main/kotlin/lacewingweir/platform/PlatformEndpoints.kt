/** Calls to endpoints in the platform's terms. */
package lacewingweir.platform

import io.netty.handler.codec.http.HttpHeaderNames
import lacewingweir.state.id.WeightsNumber
import lacewingweir.transport.http.ClientRequest
import lacewingweir.transport.http.ClientResponse
import lacewingweir.transport.relay.AnswerHead
import lacewingweir.transport.relay.EndpointProtocol
import lacewingweir.transport.relay.InboundCall
import lacewingweir.transport.relay.OutboundCall

internal object PlatformEndpoints : EndpointProtocol {
    override fun request(outbound: OutboundCall): ClientRequest {
        val call = outbound.call
        val headers = ArrayList(call.headers)
        headers += PlatformHeaders.DEADLINE_MILLIS to outbound.remainingMillis.toString()
        headers += PlatformHeaders.EXPECT_INSTANCE to outbound.endpoint.id.value
        outbound.customer?.let { headers += PlatformHeaders.TENANT to it.value }
        outbound.cacheSalt?.let { headers += PlatformHeaders.CACHE_SALT to it }
        outbound.weights?.let { headers += PlatformHeaders.EXPECT_VERSION to it.toString() }
        outbound.priority?.let {
            headers +=
                PlatformHeaders.REQUEST_PRIORITY to it.coerceIn(0, LOWEST_PRIORITY).toString()
        }
        outbound.resumeAfter?.let { headers += PlatformHeaders.LAST_EVENT_ID to it }
        outbound.cacheSource?.let { headers += PlatformHeaders.KV_FETCH to it.address }
        outbound.cacheCopy?.let { copy ->
            headers += PlatformHeaders.KV_FROM to "${copy.source.address}/${copy.handle}"
        }
        return ClientRequest(
            host = outbound.endpoint.host,
            port = outbound.endpoint.port,
            method = call.method,
            path = call.target,
            headers = headers,
            body = call.body,
            connectTimeoutMillis = minOf(outbound.remainingMillis, CONNECT_TIMEOUT_MILLIS),
            headTimeoutMillis = outbound.headTimeoutMillis,
            answersThis = { it.get(PlatformHeaders.ATTEMPT_ID)?.let { id -> id == call.id.value } ?: true },
            keepHost = true,
        )
    }

    override fun head(
        call: InboundCall,
        response: ClientResponse,
    ): AnswerHead {
        val headers = response.headers
        return AnswerHead(
            status = response.status,
            notRun = headers.contains(PlatformHeaders.NOT_EXECUTED) || response.status == MISDIRECTED,
            matchesRequest = headers.get(PlatformHeaders.ATTEMPT_ID) == call.id.value,
            contentEncoded = headers.contains(HttpHeaderNames.CONTENT_ENCODING),
            eventStream = headers.get(HttpHeaderNames.CONTENT_TYPE)?.startsWith("text/event-stream") == true,
            weights = headers.get(PlatformHeaders.WEIGHT_VERSIONS)?.toLongOrNull()?.let(::WeightsNumber),
            headers = headers.entries().filter { it.key.lowercase() !in HopHeaders.names }.map { it.key to it.value },
        )
    }

    private const val MISDIRECTED = 421
    private const val LOWEST_PRIORITY = 9

    /** A live endpoint accepts within a few milliseconds; a lost first packet is sent again after a second. */
    const val CONNECT_TIMEOUT_MILLIS: Long = 400
}

/** Headers that concern one connection only. */
internal object HopHeaders {
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
