/*
 * The wire format between router and engines.
 *
 * An engine may respond too late, with the response to another request, or with other weights. Responses are therefore
 * checked strictly, and dropped before they reach a caller if a check fails.
 */
package lacewingweir.protocol.engine

import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import lacewingweir.protocol.openai.ChatRequest
import lacewingweir.state.bundle.TrafficClass
import lacewingweir.state.id.ModelName
import lacewingweir.state.id.RequestId
import lacewingweir.state.id.WeightsVersion

/**
 * One attempt at a chat completion on an engine.
 *
 * [weights] is the version from which the response must come. [resumeAt] is the index of the first chunk to send. If
 * [resumeFinished] is set, all content chunks were received before, and only the usage report is missing.
 * [maxAnswerTokens] limits the answer if the caller specified no limit, so that it does not exceed the tokens reserved
 * for it.
 */
public class EngineRequest(
    public val chat: ChatRequest,
    public val model: ModelName,
    public val weights: WeightsVersion,
    public val requestId: RequestId,
    public val cacheSalt: String,
    public val trafficClass: TrafficClass,
    public val maxAnswerTokens: Long,
    public val resumeAt: Long = 0,
    public val resumeFinished: Boolean = false,
    public val traceHeaders: List<Pair<String, String>> = emptyList(),
    public val headTimeoutMillis: Long = 30_000,
) {
    /** Returns the request body, in which the fields that the router sets replace those of the caller. */
    public fun body(): ByteArray {
        val options = (chat.body["stream_options"] as? JsonObject).orEmpty() + ("include_usage" to JsonPrimitive(true))
        val fields =
            buildJsonObject {
                for ((field, value) in chat.body) put(field, value)
                put("model", model.value)
                put("stream", true)
                put("stream_options", JsonObject(options))
                put("request_id", requestId.value)
                put("cache_salt", cacheSalt)
                put("priority", if (trafficClass == TrafficClass.INTERACTIVE) 0 else 1)
                put("resume_at", resumeAt)
                if (chat.maxAnswerTokens == null) put("max_tokens", maxAnswerTokens)
            }
        return fields.toString().encodeToByteArray()
    }

    /** Returns the request headers. They include no header of the caller's request. */
    public fun headers(): List<Pair<String, String>> =
        listOf(
            "Content-Type" to "application/json",
            "Accept" to "text/event-stream",
            EngineHead.REQUEST_ID_HEADER to requestId.value,
        ) + traceHeaders
}
