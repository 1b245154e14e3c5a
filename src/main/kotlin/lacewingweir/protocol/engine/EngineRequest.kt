/*
 * The wire format between router and engines (section 6.1 of docs/design.md).
 *
 * Answers are checked strictly, since an engine may answer late, crossed or with other weights: whatever fails a check
 * is dropped before it can reach a caller.
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
 * One attempt of a chat completion on an engine.
 *
 * [weights] is the version that the answer must come from. [resumeAt] is the index of the first chunk to send;
 * with [resumeFinished] all content chunks were received before and only the usage report is still wanted.
 * [maxAnswerTokens] is put into the request if the caller named no limit, so that the answer stays within what was
 * reserved for it.
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
    /** The request body. Fields of the caller that the router sets itself are replaced. */
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

    /** The request headers; nothing of the caller's headers is among them. */
    public fun headers(): List<Pair<String, String>> =
        listOf(
            "Content-Type" to "application/json",
            "Accept" to "text/event-stream",
            EngineHead.REQUEST_ID_HEADER to requestId.value,
        ) + traceHeaders
}
