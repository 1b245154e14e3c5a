package lacewingweir.protocol.openai

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.longOrNull

/** A `chat.completion.chunk` of a stream. Only the last chunk has [usage], and it has no [choice]. */
public class ChatChunk private constructor(
    public val body: JsonObject,
    public val id: String,
    public val choice: JsonObject?,
    public val finishReason: String?,
    public val usage: Usage?,
) {
    public companion object {
        /** Parses a chunk. Returns null if [data] is not a valid chunk. */
        public fun parse(
            data: String,
            limits: JsonLimits = JsonLimits(),
        ): ChatChunk? {
            val result = JsonParseResult.parse(data.encodeToByteArray(), limits)
            val body = (result as? JsonParseResult.Parsed)?.body ?: return null
            val id = body.text("id")
            val choices = body["choices"] as? JsonArray
            if (id == null || choices == null || choices.size > 1) return null
            val choice = choices.firstOrNull()
            if (choice != null && choice !is JsonObject) return null
            return ChatChunk(
                body = body,
                id = id,
                choice = choice,
                finishReason = choice?.text("finish_reason"),
                usage = usage(body["usage"]),
            )
        }

        private fun usage(element: JsonElement?): Usage? {
            val fields = element as? JsonObject ?: return null
            val prompt = fields.count("prompt_tokens")
            val completion = fields.count("completion_tokens")
            if (prompt == null || completion == null) return null
            return Usage(prompt, completion, (fields["prompt_tokens_details"] as? JsonObject)?.count("cached_tokens"))
        }

        private fun JsonObject.text(field: String): String? =
            (this[field] as? JsonPrimitive)?.takeIf { it.isString }?.content

        private fun JsonObject.count(field: String): Long? =
            (this[field] as? JsonPrimitive)?.takeIf { !it.isString }?.longOrNull?.takeIf { it >= 0 }
    }
}
