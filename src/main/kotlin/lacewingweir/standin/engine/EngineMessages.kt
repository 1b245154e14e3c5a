package lacewingweir.standin.engine

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.contentOrNull

@Serializable
internal data class CompletionRequest(
    val model: String,
    val messages: List<CompletionMessage>,
    @SerialName("request_id") val requestId: String? = null,
    @SerialName("cache_salt") val cacheSalt: String = "",
    val priority: Int = 0,
    @SerialName("resume_at") val resumeAt: Int = 0,
    @SerialName("max_tokens") val maxTokens: Int? = null,
    @SerialName("max_completion_tokens") val maxCompletionTokens: Int? = null,
) {
    /** The prompt text, joined from the messages as routers and engines count and hash it. */
    val prompt: String
        get() = messages.joinToString("") { "${it.role}: ${it.text}\n" }
}

@Serializable
internal data class CompletionMessage(
    val role: String,
    val content: JsonElement? = null,
) {
    /** The content, or its joined text parts. */
    val text: String
        get() =
            when (content) {
                is JsonPrimitive -> content.contentOrNull.orEmpty()
                is JsonArray ->
                    content.joinToString("") {
                        ((it as? JsonObject)?.get("text") as? JsonPrimitive)?.contentOrNull.orEmpty()
                    }
                else -> ""
            }
}

@Serializable
internal data class CompletionChunk(
    val id: String,
    val model: String,
    val choices: List<ChunkChoice>,
    val usage: Usage? = null,
    @SerialName("object") val kind: String,
    val created: Long,
)

@Serializable
internal data class ChunkChoice(
    val index: Int,
    val delta: ChunkDelta,
    @SerialName("finish_reason") val finishReason: String? = null,
)

@Serializable
internal data class ChunkDelta(
    val content: String,
    val role: String? = null,
)

@Serializable
internal data class Usage(
    @SerialName("prompt_tokens") val promptTokens: Int,
    @SerialName("completion_tokens") val completionTokens: Int,
    @SerialName("total_tokens") val totalTokens: Int,
    @SerialName("prompt_tokens_details") val details: PromptTokensDetails,
)

@Serializable
internal data class PromptTokensDetails(
    @SerialName("cached_tokens") val cachedTokens: Int,
)

@Serializable
internal data class EngineErrorBody(
    val error: EngineErrorDetail,
)

@Serializable
internal data class EngineErrorDetail(
    val message: String,
    val type: String,
    val code: String,
)
