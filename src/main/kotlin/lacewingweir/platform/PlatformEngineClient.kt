/** Calls that instances make to engines on their own behalf; none of them needs a slot there. */
package lacewingweir.platform

import kotlinx.serialization.json.JsonObject
import lacewingweir.protocol.settings.HostPort
import lacewingweir.state.fleet.EndpointEntry
import lacewingweir.transport.http.ClientRequest
import lacewingweir.transport.http.ClientResult
import lacewingweir.transport.http.HttpClient

internal class PlatformEngineClient(
    private val http: HttpClient,
) {
    suspend fun call(
        engine: EndpointEntry,
        method: String,
        path: String,
        body: JsonObject? = null,
        answerTimeoutMillis: Long = ANSWER_TIMEOUT_MILLIS,
    ): ClientResult =
        http.open(
            jsonRequest(
                address = HostPort(engine.host, engine.port),
                method = method,
                path = path,
                body = body,
                connectTimeoutMillis = PlatformEndpointProtocol.CONNECT_TIMEOUT_MILLIS,
                headTimeoutMillis = answerTimeoutMillis,
                headers = listOf(PlatformHeaders.EXPECTED_ENDPOINT to engine.id.value),
            ),
        )

    internal companion object {
        /** Longer answers to such calls are not read. */
        const val MAX_ANSWER_BYTES: Int = 256 * 1024

        /** Engines answer such calls within milliseconds. */
        private const val ANSWER_TIMEOUT_MILLIS: Long = 400
    }
}

/** A call with a JSON [body], or with none. */
internal fun jsonRequest(
    address: HostPort,
    method: String,
    path: String,
    body: JsonObject?,
    connectTimeoutMillis: Long,
    headTimeoutMillis: Long,
    headers: List<Pair<String, String>> = emptyList(),
) = ClientRequest(
    host = address.host,
    port = address.port,
    method = method,
    path = path,
    headers = headers + if (body == null) emptyList() else listOf("Content-Type" to "application/json"),
    body = body?.toString()?.encodeToByteArray() ?: ByteArray(0),
    connectTimeoutMillis = connectTimeoutMillis,
    headTimeoutMillis = headTimeoutMillis,
)
