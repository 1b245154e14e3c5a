package lacewingweir.protocol.openai

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import lacewingweir.protocol.json.JsonNesting
import java.nio.ByteBuffer
import java.nio.charset.CharacterCodingException

/** Result of parsing a JSON object from a caller or an engine. */
public sealed interface JsonParseResult {
    /** The document is a well-formed JSON object within the limits. */
    public data class Parsed(
        val body: JsonObject,
    ) : JsonParseResult

    /** The document can't be used. [tooLarge] is true if it exceeds the maximum size. */
    public data class Malformed(
        val reason: String,
        val tooLarge: Boolean = false,
    ) : JsonParseResult

    public companion object {
        private val NUMBER = Regex("-?(0|[1-9][0-9]*)(\\.[0-9]+)?([eE][+-]?[0-9]+)?")
        private val KEYWORDS = setOf("true", "false", "null")

        /**
         * Parses [bytes] as a JSON object.
         *
         * The nesting depth is checked before parsing, because the parser is recursive and could overflow the stack.
         */
        public fun parse(
            bytes: ByteArray,
            limits: JsonLimits = JsonLimits(),
        ): JsonParseResult {
            if (bytes.size > limits.maxBytes) {
                return Malformed("document is longer than ${limits.maxBytes} bytes", tooLarge = true)
            }
            if (JsonNesting.maxNestingDepth(bytes.size) { bytes[it].toInt().toChar() } > limits.maxDepth) {
                return Malformed("nested deeper than ${limits.maxDepth} levels")
            }
            return try {
                val text =
                    Charsets.UTF_8
                        .newDecoder()
                        .decode(ByteBuffer.wrap(bytes))
                        .toString()
                val element = Json.parseToJsonElement(text)
                when {
                    element !is JsonObject -> Malformed("not a JSON object")
                    !hasOnlyJsonValues(element) -> Malformed("contains an unquoted value that is not JSON")
                    else -> Parsed(element)
                }
            } catch (_: CharacterCodingException) {
                Malformed("not valid UTF-8")
            } catch (_: SerializationException) {
                // The parser's message quotes the input, which can contain a secret of the caller.
                Malformed("not well-formed JSON")
            }
        }

        // The parser accepts unquoted words such as `abc` as values, which an engine could interpret differently.
        private fun hasOnlyJsonValues(element: JsonElement): Boolean =
            when (element) {
                is JsonObject -> element.values.all(::hasOnlyJsonValues)
                is JsonArray -> element.all(::hasOnlyJsonValues)
                is JsonPrimitive ->
                    element.isString || element.content in KEYWORDS || NUMBER.matches(element.content)
            }
    }
}
