package lacewingweir.transport.gateway

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.intOrNull
import kotlinx.serialization.json.put
import lacewingweir.coordination.rollout.CommandResult
import lacewingweir.coordination.rollout.EngineStatus
import lacewingweir.coordination.rollout.LoadedModel
import lacewingweir.protocol.engine.EngineHead
import lacewingweir.protocol.engine.EngineRequest
import lacewingweir.protocol.engine.EngineStreamCheck
import lacewingweir.protocol.openai.JsonDocument
import lacewingweir.state.bundle.Endpoint
import lacewingweir.state.id.Incarnation
import lacewingweir.state.id.ModelName
import lacewingweir.state.id.RequestId
import lacewingweir.state.id.WeightsVersion
import lacewingweir.transport.http.ClientRequest
import lacewingweir.transport.http.ClientResponse
import lacewingweir.transport.http.ClientResult
import lacewingweir.transport.http.HttpClient
import lacewingweir.transport.http.readAll
import java.util.UUID

/** Talks to engines over HTTP as in section 6.1 of the design. */
public class HttpEngineAdapter(
    private val client: HttpClient,
    private val connectTimeoutMillis: Long = 1_000,
    private val commandTimeoutMillis: Long = 2_000,
) : EngineAdapter {
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
        command(endpoint, "/engine/cancel", buildJsonObject { put("request_id", requestId.value) })
    }

    override suspend fun load(
        endpoint: Endpoint,
        model: ModelName,
        weights: WeightsVersion,
        fencing: Long,
    ): CommandResult {
        val order =
            buildJsonObject {
                put("model", model.value)
                put("weights", weights.value)
                put("fencing", fencing)
                put("order_id", UUID.randomUUID().toString())
            }
        return when (val status = command(endpoint, "/engine/load", order)) {
            STATUS_ACCEPTED -> CommandResult.Accepted
            STATUS_CONFLICT -> CommandResult.Fenced
            null -> CommandResult.Failed("no answer")
            else -> CommandResult.Failed("status $status")
        }
    }

    override suspend fun status(endpoint: Endpoint): EngineStatus? {
        val answer = client.open(request(endpoint, "GET", "/engine/status", ByteArray(0)))
        val response = (answer as? ClientResult.Answered)?.response ?: return null
        val body = response.readAll(MAX_STATUS_BYTES, commandTimeoutMillis)?.let(::parse)
        return if (response.status == STATUS_OK) body?.let(::readStatus) else null
    }

    private fun readStatus(body: JsonObject): EngineStatus? {
        val incarnation = body.text("incarnation")
        val running = (body["running"] as? JsonPrimitive)?.intOrNull
        val waiting = (body["waiting"] as? JsonPrimitive)?.intOrNull
        if (incarnation == null || running == null || waiting == null) return null
        val models =
            (body["models"] as? JsonArray).orEmpty().mapNotNull { element ->
                val fields = element as? JsonObject
                val name = fields?.text("name")
                val weights = fields?.text("weights")
                if (name == null || weights == null) return@mapNotNull null
                LoadedModel(ModelName(name), WeightsVersion(weights), loading = fields.text("state") != "serving")
            }
        val leaving = (body["leaving"] as? JsonPrimitive)?.booleanOrNull == true
        return EngineStatus(Incarnation(incarnation), leaving, running, waiting, models)
    }

    /** Sends a command and returns the status of the answer, or null without one. */
    private suspend fun command(
        endpoint: Endpoint,
        path: String,
        body: JsonObject,
    ): Int? {
        val answer = client.open(request(endpoint, "POST", path, body.toString().encodeToByteArray()))
        val response = (answer as? ClientResult.Answered)?.response ?: return null
        response.readAll(MAX_ERROR_BYTES, commandTimeoutMillis)
        return response.status
    }

    private fun request(
        endpoint: Endpoint,
        method: String,
        path: String,
        body: ByteArray,
    ): ClientRequest =
        ClientRequest(
            host = endpoint.host,
            port = endpoint.port,
            method = method,
            path = path,
            headers = listOf("Content-Type" to "application/json"),
            body = body,
            connectTimeoutMillis = connectTimeoutMillis,
            headTimeoutMillis = commandTimeoutMillis,
        )

    private fun parse(body: ByteArray): JsonObject? = (JsonDocument.parse(body) as? JsonDocument.Parsed)?.body

    private fun JsonObject.text(field: String): String? =
        (this[field] as? JsonPrimitive)?.takeIf { it.isString }?.content

    private companion object {
        const val RUN_HEADER: String = "X-Run"
        const val STATUS_OK: Int = 200
        const val STATUS_ACCEPTED: Int = 202
        const val STATUS_CONFLICT: Int = 409
        const val MAX_ERROR_BYTES: Int = 64 * 1024
        const val MAX_STATUS_BYTES: Int = 256 * 1024
        const val MAX_MESSAGE_CHARS: Int = 300
    }
}
