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

/** Outcome of reading a JSON object from outside. */
public sealed interface JsonParseResult {
    /** The document is one well-formed JSON object within the limits. */
    public data class Parsed(
        val body: JsonObject,
    ) : JsonParseResult

    /** The document can't be used. [tooLarge] tells an exceeded size from a malformed text. */
    public data class Malformed(
        val reason: String,
        val tooLarge: Boolean = false,
    ) : JsonParseResult

    public companion object {
        private val NUMBER = Regex("-?(0|[1-9][0-9]*)(\\.[0-9]+)?([eE][+-]?[0-9]+)?")
        private val LITERALS = setOf("true", "false", "null")

        /** Reads [bytes] as one JSON object. The nesting is checked before the parser sees the text. */
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
                    !hasOnlyJsonLiterals(element) -> Malformed("contains an unquoted value that is not JSON")
                    else -> Parsed(element)
                }
            } catch (_: CharacterCodingException) {
                Malformed("not valid UTF-8")
            } catch (_: SerializationException) {
                // The parser's message quotes the input, which may hold a caller's secret.
                Malformed("not well-formed JSON")
            }
        }

        // The parser accepts bare words such as `abc` as values, which an engine would read differently.
        private fun hasOnlyJsonLiterals(element: JsonElement): Boolean =
            when (element) {
                is JsonObject -> element.values.all(::hasOnlyJsonLiterals)
                is JsonArray -> element.all(::hasOnlyJsonLiterals)
                is JsonPrimitive ->
                    element.isString || element.content in LITERALS || NUMBER.matches(element.content)
            }
    }
}
