package lacewingweir.transport.gateway

import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import lacewingweir.coordination.rollout.EngineControl
import lacewingweir.protocol.engine.EngineHead
import lacewingweir.protocol.engine.EngineRequest
import lacewingweir.protocol.engine.EngineStreamValidator
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

/** Sends requests and commands to engines over HTTP. */
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
    ): EngineResponse {
        val result =
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
        return when (result) {
            is ClientResult.NotSent -> EngineResponse.NotSent(result.reason)
            is ClientResult.Unknown -> EngineResponse.Unknown(result.reason)
            is ClientResult.Answered ->
                if (result.response.status == STATUS_OK) stream(request, result.response) else refusal(result.response)
        }
    }

    private fun stream(
        request: EngineRequest,
        response: ClientResponse,
    ): EngineResponse =
        when (val headResult = EngineHead.check(request.requestId, request.weights) { response.headers.get(it) }) {
            is EngineHead.CheckResult.Rejected -> {
                response.close()
                EngineResponse.Dropped(headResult.reason, headResult.detail)
            }
            is EngineHead.CheckResult.Accepted -> {
                val validator = EngineStreamValidator(request.requestId, request.resumeAt, request.resumeFinished)
                EngineResponse.Streaming(headResult.head, HttpEngineStream(response, validator))
            }
        }

    private suspend fun refusal(response: ClientResponse): EngineResponse {
        val body = response.readAll(MAX_ERROR_BYTES, commandTimeoutMillis)
        val error = body?.let(::parseObject)?.get("error") as? JsonObject
        return EngineResponse.Refused(
            status = response.status,
            message = error?.stringField("message")?.take(MAX_MESSAGE_CHARS) ?: "status ${response.status}",
            notRun = response.headers.get(RUN_STATE_HEADER) == "not-run",
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
        val result = client.open(command)
        if (result is ClientResult.Answered) result.response.readAll(MAX_ERROR_BYTES, commandTimeoutMillis)
    }

    private fun parseObject(body: ByteArray): JsonObject? =
        (JsonParseResult.parse(body) as? JsonParseResult.Parsed)?.body

    private fun JsonObject.stringField(name: String): String? =
        (this[name] as? JsonPrimitive)?.takeIf { it.isString }?.content

    private companion object {
        const val RUN_STATE_HEADER: String = "X-Run"
        const val STATUS_OK: Int = 200
        const val MAX_ERROR_BYTES: Int = 64 * 1024
        const val MAX_MESSAGE_CHARS: Int = 300
    }
}
