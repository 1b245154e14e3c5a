package lacewingweir.protocol.openai

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.longOrNull

/**
 * A chat completion request of a caller.
 *
 * @property body the complete JSON object.
 * @property maxAnswerTokens the caller's limit, or null if the request sets none.
 * @property promptText the text whose tokens engines count and whose prefixes they hash: one `role: content` line for
 *   each message.
 * @property extraBytes the size of the fields that engines add to the prompt but that [promptText] lacks, such as tool
 *   definitions.
 */
public class ChatRequest private constructor(
    public val body: JsonObject,
    public val model: String,
    public val stream: Boolean,
    public val includeUsage: Boolean,
    public val maxAnswerTokens: Long?,
    public val promptText: String,
    public val extraBytes: Long,
) {
    /** Returns an upper bound of the prompt's tokens, provided that no token is shorter than [bytesPerToken] bytes. */
    public fun promptTokensUpperBound(bytesPerToken: Int): Long {
        val bytes = promptText.encodeToByteArray().size + extraBytes
        return (bytes + bytesPerToken - 1) / bytesPerToken
    }

    public companion object {
        private val TOKEN_LIMIT_FIELDS = listOf("max_completion_tokens", "max_tokens")
        private val PROMPT_FIELDS = listOf("tools", "functions", "response_format")

        /** Parses and validates a request body. */
        public fun parse(
            bytes: ByteArray,
            limits: JsonLimits = JsonLimits(),
        ): ChatRequestResult =
            when (val parsed = JsonParseResult.parse(bytes, limits)) {
                is JsonParseResult.Malformed ->
                    ChatRequestResult.Invalid(null, "request body: ${parsed.reason}", parsed.tooLarge)
                is JsonParseResult.Parsed ->
                    try {
                        ChatRequestResult.Parsed(read(parsed.body, limits))
                    } catch (e: InvalidFieldException) {
                        ChatRequestResult.Invalid(e.field, "${e.field}: ${e.problem}")
                    }
            }

        private fun read(
            body: JsonObject,
            limits: JsonLimits,
        ): ChatRequest {
            val model = string(body, "model")
            require(model.length <= limits.maxModelChars, "model", "longer than ${limits.maxModelChars} characters")
            val choices = body["n"].presentOrNull()
            require(choices == null || choices.asLongOrNull() == 1L, "n", "only one choice is supported")
            return ChatRequest(
                body = body,
                model = model,
                stream = boolean(body, "stream", "stream"),
                includeUsage = includeUsage(body),
                maxAnswerTokens = answerTokenLimit(body, limits),
                promptText = promptText(body, limits),
                extraBytes =
                    PROMPT_FIELDS.sumOf {
                        body[it]
                            .presentOrNull()
                            ?.toString()
                            ?.length
                            ?.toLong() ?: 0L
                    },
            )
        }

        private fun includeUsage(body: JsonObject): Boolean {
            val options = body["stream_options"].presentOrNull() ?: return false
            require(options is JsonObject, "stream_options", "must be an object")
            return boolean(options as JsonObject, "include_usage", "stream_options.include_usage")
        }

        private fun answerTokenLimit(
            body: JsonObject,
            limits: JsonLimits,
        ): Long? {
            val requested =
                TOKEN_LIMIT_FIELDS.mapNotNull { field ->
                    body[field].presentOrNull()?.let { value ->
                        val tokens = value.asLongOrNull()
                        val allowed = 1..limits.maxAnswerTokens
                        require(tokens != null && tokens in allowed, field, "must be an integer in $allowed")
                        checkNotNull(tokens)
                    }
                }
            return requested.minOrNull()
        }

        private fun promptText(
            body: JsonObject,
            limits: JsonLimits,
        ): String {
            val messages = body["messages"]
            require(messages is JsonArray, "messages", "must be an array")
            val messageArray = messages as JsonArray
            require(messageArray.isNotEmpty(), "messages", "must not be empty")
            require(messageArray.size <= limits.maxMessages, "messages", "more than ${limits.maxMessages} messages")
            return buildString {
                messageArray.forEachIndexed { index, message ->
                    val path = "messages[$index]"
                    require(message is JsonObject, path, "must be an object")
                    val fields = message as JsonObject
                    append(string(fields, "role", "$path.role")).append(": ")
                    append(content(fields["content"], "$path.content")).append('\n')
                }
            }
        }

        private fun content(
            element: JsonElement?,
            path: String,
        ): String =
            when (val value = element.presentOrNull()) {
                // A message that consists of tool calls has no content.
                null -> ""
                is JsonArray -> value.withIndex().joinToString("") { (index, part) -> part(part, "$path[$index]") }
                else -> {
                    require(value is JsonPrimitive && value.isString, path, "must be a string or an array of parts")
                    (value as JsonPrimitive).content
                }
            }

        private fun part(
            element: JsonElement,
            path: String,
        ): String {
            require(element is JsonObject, path, "must be an object")
            val fields = element as JsonObject
            return if (string(fields, "type", "$path.type") ==
                "text"
            ) {
                string(fields, "text", "$path.text")
            } else {
                "$fields"
            }
        }

        private fun string(
            body: JsonObject,
            field: String,
            path: String = field,
        ): String {
            val value = body[field]
            require(value is JsonPrimitive && value.isString && value.content.isNotEmpty(), path, "must be a string")
            return (value as JsonPrimitive).content
        }

        private fun boolean(
            body: JsonObject,
            field: String,
            path: String,
        ): Boolean {
            val value = body[field].presentOrNull() ?: return false
            val flag = (value as? JsonPrimitive)?.takeIf { !it.isString }?.booleanOrNull
            require(flag != null, path, "must be true or false")
            return flag == true
        }

        private fun JsonElement?.presentOrNull(): JsonElement? = takeIf { it !is JsonNull }

        private fun JsonElement.asLongOrNull(): Long? = (this as? JsonPrimitive)?.takeIf { !it.isString }?.longOrNull

        private fun require(
            condition: Boolean,
            field: String,
            problem: String,
        ) {
            if (!condition) throw InvalidFieldException(field, problem)
        }
    }

    private class InvalidFieldException(
        val field: String,
        val problem: String,
    ) : Exception()
}
