package lacewingweir.platform

import lacewingweir.state.fleet.PeerEntry
import lacewingweir.state.id.ServiceName
import lacewingweir.transport.http.ClientRequest
import lacewingweir.transport.http.ClientResponse
import lacewingweir.transport.http.ServerExchange
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
        val replaced = setOf(PlatformHeaders.REMAINING_MILLIS.lowercase(), SERVICE.lowercase())
        val headers =
            PlatformRequestDecoder.endToEndHeaders(received).filter { (name) -> name.lowercase() !in replaced } +
                listOf(
                    PlatformHeaders.REMAINING_MILLIS to passed.remainingMillis.toString(),
                    SERVICE to passed.service.value,
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

    /** Returns the service that the other instance has chosen for a call, or null if it names none. */
    fun chosenService(exchange: ServerExchange): ServiceName? = exchange.headers.get(SERVICE)?.let(::ServiceName)

    private const val SERVICE = PassedExchange.PASSED_SERVICE_HEADER

    /** Instances accept a connection within a few milliseconds. */
    private const val CONNECT_TIMEOUT_MILLIS: Long = 300
}
