package lacewingweir.platform

import lacewingweir.state.fleet.PeerEntry
import lacewingweir.state.id.EndpointTag
import lacewingweir.state.id.ServiceName
import lacewingweir.transport.http.ClientRequest
import lacewingweir.transport.http.ClientResponse
import lacewingweir.transport.http.ServerExchange
import lacewingweir.transport.relay.PassOrigin
import lacewingweir.transport.relay.PassProtocol
import lacewingweir.transport.relay.PassedCall
import lacewingweir.transport.relay.PassedExchange

/** Passes calls on between instances as their callers sent them, key included, with the time that is left. */
internal object PlatformPassProtocol : PassProtocol {
    override fun encodeRequest(
        passed: PassedCall,
        received: ServerExchange,
        peer: PeerEntry,
    ): ClientRequest {
        val replaced = PassedExchange.requestHeaders + PlatformHeaders.REMAINING_MILLIS.lowercase()
        val origin = passed.origin
        val headers =
            PlatformRequestDecoder.endToEndHeaders(received).filter { (name) -> name.lowercase() !in replaced } +
                listOf(
                    PlatformHeaders.REMAINING_MILLIS to passed.remainingMillis.toString(),
                    SERVICE to origin.service.value,
                    RUNS to origin.possibleRuns.toString(),
                    RECEIVERS to origin.receivedBy.joinToString(",") { it.value.toString() },
                )
        return ClientRequest(
            host = peer.host,
            port = peer.port,
            method = received.method,
            path = received.target,
            headers = headers,
            body = received.body,
            freshConnection = passed.freshConnection,
            connectTimeoutMillis = minOf(passed.remainingMillis, CONNECT_TIMEOUT_MILLIS),
            headTimeoutMillis = passed.remainingMillis,
            id = passed.call.id.value,
            responseId = { it.onlyValue(PassedExchange.PASSED_CALL_HEADER) },
            preserveHostHeader = true,
        )
    }

    override fun callerHeaders(response: ClientResponse): List<Pair<String, String>> =
        response.headers.endToEnd().filterNot { (name) ->
            name.equals(PassedExchange.PASSED_CALL_HEADER, ignoreCase = true)
        }

    override fun isEventStream(response: ClientResponse): Boolean = response.headers.announceEvents()

    /**
     * Returns what the other instance tells of a call that it passes on, or null if that is malformed. Instances of
     * older versions tell the service only.
     */
    fun decodeOrigin(exchange: ServerExchange): PassOrigin? {
        val service = exchange.headers.get(SERVICE) ?: return null
        val runs = exchange.headers.get(RUNS) ?: "0"
        val receivers =
            exchange.headers
                .get(RECEIVERS)
                .orEmpty()
                .split(',')
                .filter { it.isNotEmpty() }
        return PassOrigin(
            service = ServiceName(service),
            possibleRuns = runs.toIntOrNull()?.takeIf { it >= 0 } ?: return null,
            receivedBy = receivers.mapTo(HashSet()) { EndpointTag(it.toIntOrNull() ?: return null) },
        )
    }

    private const val SERVICE = PassedExchange.PASSED_SERVICE_HEADER
    private const val RUNS = PassedExchange.PASSED_RUNS_HEADER
    private const val RECEIVERS = PassedExchange.PASSED_RECEIVERS_HEADER

    /** Instances accept a connection within a few milliseconds. */
    private const val CONNECT_TIMEOUT_MILLIS: Long = 300
}
