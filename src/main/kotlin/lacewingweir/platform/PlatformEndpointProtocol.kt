package lacewingweir.platform

import io.github.oshai.kotlinlogging.KotlinLogging
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import lacewingweir.state.id.WeightsNumber
import lacewingweir.transport.http.ClientRequest
import lacewingweir.transport.http.ClientResponse
import lacewingweir.transport.relay.EndpointProtocol
import lacewingweir.transport.relay.InboundCall
import lacewingweir.transport.relay.OutboundCall
import lacewingweir.transport.relay.ResponseHead

private val logger = KotlinLogging.logger {}

/** Encodes requests to endpoints, and decodes their responses, with the headers of the platform. */
internal object PlatformEndpointProtocol : EndpointProtocol {
    override fun encodeRequest(outbound: OutboundCall): ClientRequest {
        val call = outbound.call
        val headers = ArrayList(call.headers)
        headers += PlatformHeaders.REMAINING_MILLIS to outbound.remainingMillis.toString()
        headers += PlatformHeaders.EXPECTED_ENDPOINT to outbound.endpoint.id.value
        outbound.customer?.let { headers += PlatformHeaders.CUSTOMER to it.value }
        outbound.cacheSalt?.let { headers += PlatformHeaders.CACHE_SALT to it }
        outbound.weights?.let { headers += PlatformHeaders.EXPECTED_WEIGHTS to it.toString() }
        outbound.priority?.let {
            headers += PlatformHeaders.PRIORITY to it.coerceIn(0, LEAST_URGENT_PRIORITY).toString()
        }
        outbound.resumeAfter?.let { headers += PlatformHeaders.LAST_EVENT_ID to it }
        outbound.cacheSource?.let { headers += PlatformHeaders.CACHE_SOURCE to it.address }
        outbound.cacheCopy?.let { copy ->
            headers += PlatformHeaders.CACHE_COPY to "${copy.source.address}/${copy.handle}"
        }
        return ClientRequest(
            host = outbound.endpoint.host,
            port = outbound.endpoint.port,
            method = call.method,
            path = call.target,
            headers = headers,
            body = call.body,
            freshConnection = outbound.freshConnection,
            connectTimeoutMillis = minOf(outbound.remainingMillis, CONNECT_TIMEOUT_MILLIS),
            headTimeoutMillis = outbound.headTimeoutMillis,
            mayGiveUp = outbound.mayGiveUp,
            id = call.id.value,
            responseId = ::namedRequest,
            onSend = outbound.onSend,
            onSkipped = outbound.onSkipped,
            preserveHostHeader = true,
        )
    }

    override fun decodeHead(
        call: InboundCall,
        response: ClientResponse,
    ): ResponseHead {
        val headers = response.headers
        return ResponseHead(
            status = response.status,
            notRun = headers.contains(PlatformHeaders.NOT_RUN) || response.status == MISDIRECTED_REQUEST,
            matchesRequest = namedRequest(headers) == call.id.value,
            contentEncoded = headers.contains(HttpHeaderNames.CONTENT_ENCODING),
            eventStream = headers.announceEvents(),
            weights = headers.get(PlatformHeaders.WEIGHTS)?.toLongOrNull()?.let(::WeightsNumber),
            statement = decodeStatement(response),
            requestLimit = headers.get(PlatformHeaders.REQUEST_LIMIT)?.let(::parseLimit),
            headers = headers.endToEnd(),
        )
    }

    /** Returns the id of the request that a response names, or null if it names none or several. */
    private fun namedRequest(headers: HttpHeaders): String? = headers.onlyValue(PlatformHeaders.REQUEST_ID)

    private fun parseLimit(text: String): Double? {
        val limit = text.trim().toDoubleOrNull()?.takeIf { it.isFinite() && it >= 0 }
        if (limit == null) logger.warn { "platform: malformed limit of requests: $text" }
        return limit
    }

    private const val LEAST_URGENT_PRIORITY = 9

    /**
     * Reachable endpoints accept a connection within a few milliseconds. A longer timeout would help against a lost
     * SYN packet only from one second on, when the packet is retransmitted.
     */
    const val CONNECT_TIMEOUT_MILLIS: Long = 400
}

/** Returns the value of the header [name], or null if it is missing or has several values. */
internal fun HttpHeaders.onlyValue(name: String): String? = getAll(name).distinct().singleOrNull()

/** Returns whether the body of a response is an event stream. */
internal fun HttpHeaders.announceEvents(): Boolean =
    get(HttpHeaderNames.CONTENT_TYPE)?.startsWith("text/event-stream") == true

/** Returns the headers of a response that concern more than its connection. */
internal fun HttpHeaders.endToEnd(): List<Pair<String, String>> =
    entries().filter { it.key.lowercase() !in HopByHopHeaders.names }.map { it.key to it.value }

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
