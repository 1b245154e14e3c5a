package lacewingweir.transport.gateway

import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import lacewingweir.coordination.rollout.EngineControl
import lacewingweir.protocol.engine.EngineHead
import lacewingweir.protocol.engine.EngineRequest
import lacewingweir.protocol.engine.EngineStreamCheck
import lacewingweir.protocol.openai.JsonParseResult
import lacewingweir.state.bundle.Endpoint
import lacewingweir.state.id.Incarnation
import lacewingweir.state.id.RequestId
import lacewingweir.transport.engine.HttpEngineControl
import lacewingweir.transport.http.ClientRequest
import lacewingweir.transport.http.ClientResponse
import lacewingweir.transport.http.ClientResult
import lacewingweir.transport.http.HttpClient
import lacewingweir.transport.http.readAll

/** Talks to engines over HTTP as in section 6.1 of the design. */
public class HttpEngineAdapter(
    private val client: HttpClient,
    private val connectTimeoutMillis: Long = 1_000,
    private val commandTimeoutMillis: Long = 2_000,
    control: EngineControl = HttpEngineControl(client),
) : EngineAdapter,
    EngineControl by control {
    override suspend fun open(
        endpoint: Endpoint,
        request: EngineRequest,
    ): EngineAnswer {
        val sent =
            client.open(
                ClientRequest(
                    host = endpoint.host,
                    port = endpoint.port,
                    method = "POST",
                    path = "/v1/chat/completions",
                    headers = request.headers(),
                    body = request.body(),
                    connectTimeoutMillis = connectTimeoutMillis,
                    headTimeoutMillis = request.headTimeoutMillis,
                ),
            )
        return when (sent) {
            is ClientResult.NotSent -> EngineAnswer.NotSent(sent.reason)
            is ClientResult.Unknown -> EngineAnswer.Unknown(sent.reason)
            is ClientResult.Answered ->
                if (sent.response.status == STATUS_OK) stream(request, sent.response) else refused(sent.response)
        }
    }

    private fun stream(
        request: EngineRequest,
        response: ClientResponse,
    ): EngineAnswer =
        when (val checked = EngineHead.check(request.requestId, request.weights) { response.headers.get(it) }) {
            is EngineHead.Check.Rejected -> {
                response.close()
                EngineAnswer.Dropped(checked.reason, checked.detail)
            }
            is EngineHead.Check.Accepted -> {
                val check = EngineStreamCheck(request.requestId, request.resumeAt, request.resumeFinished)
                EngineAnswer.Streaming(checked.head, HttpEngineStream(response, check))
            }
        }

    private suspend fun refused(response: ClientResponse): EngineAnswer {
        val body = response.readAll(MAX_ERROR_BYTES, commandTimeoutMillis)
        val error = body?.let(::parse)?.get("error") as? JsonObject
        return EngineAnswer.Refused(
            status = response.status,
            message = error?.text("message")?.take(MAX_MESSAGE_CHARS) ?: "status ${response.status}",
            notRun = response.headers.get(RUN_HEADER) == "not-run",
            leaving = response.headers.get(EngineHead.LEAVING_HEADER).equals("true", ignoreCase = true),
            incarnation = response.headers.get(EngineHead.INCARNATION_HEADER)?.let(::Incarnation),
            load = response.headers.get(EngineHead.LOAD_HEADER)?.let(EngineHead::parseLoad),
        )
    }

    override suspend fun cancel(
        endpoint: Endpoint,
        requestId: RequestId,
    ) {
        val body = buildJsonObject { put("request_id", requestId.value) }
        val command =
            ClientRequest(
                host = endpoint.host,
                port = endpoint.port,
                method = "POST",
                path = "/engine/cancel",
                headers = listOf("Content-Type" to "application/json"),
                body = body.toString().encodeToByteArray(),
                connectTimeoutMillis = connectTimeoutMillis,
                headTimeoutMillis = commandTimeoutMillis,
            )
        val answer = client.open(command)
        if (answer is ClientResult.Answered) answer.response.readAll(MAX_ERROR_BYTES, commandTimeoutMillis)
    }

    private fun parse(body: ByteArray): JsonObject? = (JsonParseResult.parse(body) as? JsonParseResult.Parsed)?.body

    private fun JsonObject.text(field: String): String? =
        (this[field] as? JsonPrimitive)?.takeIf { it.isString }?.content

    private companion object {
        const val RUN_HEADER: String = "X-Run"
        const val STATUS_OK: Int = 200
        const val MAX_ERROR_BYTES: Int = 64 * 1024
        const val MAX_MESSAGE_CHARS: Int = 300
    }
}
