package lacewingweir.platform

import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.json.JsonObject
import lacewingweir.protocol.settings.HostPort
import lacewingweir.state.fleet.EndpointEntry
import lacewingweir.state.fleet.EndpointStatement
import lacewingweir.transport.http.ClientRequest
import lacewingweir.transport.http.ClientResponse
import lacewingweir.transport.http.ClientResult
import lacewingweir.transport.http.HttpClient
import lacewingweir.transport.http.readAll

/**
 * Sends control requests of this instance to engines. They do not occupy a slot of the engine.
 *
 * Neither these requests nor their responses have an id. A late copy of a response could be taken for the one to any
 * other request on the same connection, so each control request has a connection of its own.
 *
 * [isPaused] returns whether an engine has asked for no requests now. [onStatement] is called with what an engine says
 * about itself in a response.
 */
internal class PlatformEngineClient(
    private val http: HttpClient,
    private val isPaused: (EndpointEntry) -> Boolean,
    private val onStatement: (EndpointEntry, EndpointStatement) -> Unit,
) {
    suspend fun call(
        engine: EndpointEntry,
        method: String,
        path: String,
        body: JsonObject? = null,
        responseTimeoutMillis: Long = RESPONSE_TIMEOUT_MILLIS,
    ): ClientResult {
        if (isPaused(engine)) return ClientResult.NotSent("the engine has asked for a pause")
        val result =
            http.open(
                jsonRequest(
                    address = HostPort(engine.host, engine.port),
                    method = method,
                    path = path,
                    body = body,
                    connectTimeoutMillis = PlatformEndpointProtocol.CONNECT_TIMEOUT_MILLIS,
                    headTimeoutMillis = responseTimeoutMillis,
                    headers = listOf(PlatformHeaders.EXPECTED_ENDPOINT to engine.id.value),
                    freshConnection = true,
                ),
            )
        if (result is ClientResult.Answered) onStatement(engine, decodeStatement(result.response))
        return result
    }

    /** Reads the body of a response to a control request. Returns null if it is too large or does not end in time. */
    suspend fun readBody(response: ClientResponse): ByteArray? =
        withTimeoutOrNull(RESPONSE_TIMEOUT_MILLIS) { response.readAll(MAX_RESPONSE_BYTES, RESPONSE_TIMEOUT_MILLIS) }

    private companion object {
        /** Longer responses to control requests are not read. */
        const val MAX_RESPONSE_BYTES: Int = 256 * 1024

        /** Engines respond to control requests within milliseconds. */
        const val RESPONSE_TIMEOUT_MILLIS: Long = 400
    }
}

/** Returns a request with a JSON [body], or with an empty body if [body] is null. */
internal fun jsonRequest(
    address: HostPort,
    method: String,
    path: String,
    body: JsonObject?,
    connectTimeoutMillis: Long,
    headTimeoutMillis: Long,
    headers: List<Pair<String, String>> = emptyList(),
    freshConnection: Boolean = false,
) = ClientRequest(
    host = address.host,
    port = address.port,
    method = method,
    path = path,
    headers = headers + if (body == null) emptyList() else listOf("Content-Type" to "application/json"),
    body = body?.toString()?.encodeToByteArray() ?: ByteArray(0),
    connectTimeoutMillis = connectTimeoutMillis,
    headTimeoutMillis = headTimeoutMillis,
    // A response that names a call isn't the answer to a request without an id.
    responseId = { it.get(PlatformHeaders.REQUEST_ID) },
    freshConnection = freshConnection,
)
