/** Type-checked access to the fields of the platform's JSON objects. */
package lacewingweir.platform

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.doubleOrNull
import kotlinx.serialization.json.longOrNull
import lacewingweir.protocol.json.JsonNesting

/**
 * Parses [bytes] as a JSON object.
 *
 * The parser is recursive and creates an object for each value, so the text is bounded before it is parsed.
 *
 * @throws IllegalArgumentException if the text is not a JSON object within the limits
 */
internal fun parseObject(bytes: ByteArray): JsonObject {
    val depth = JsonNesting.maxNestingDepth(bytes.size) { bytes[it].toInt().toChar() }
    require(depth <= MAX_NESTING_DEPTH) { "nested deeper than $MAX_NESTING_DEPTH levels" }
    val values = JsonNesting.maxValues(bytes.size) { bytes[it].toInt().toChar() }
    require(values <= MAX_VALUES) { "more than $MAX_VALUES values" }
    return Json.parseToJsonElement(decodeUtf8(bytes)) as? JsonObject ?: throw JsonFieldException("not a JSON object")
}

private fun decodeUtf8(bytes: ByteArray): String =
    try {
        bytes.decodeToString(throwOnInvalidSequence = true)
    } catch (e: CharacterCodingException) {
        throw IllegalArgumentException("not UTF-8: ${e.message}", e)
    }

/** Returns the field if it is a number, a boolean or a JSON null. A number in quotes is a string and isn't returned. */
private fun JsonObject.unquoted(name: String): JsonPrimitive? =
    (this[name] as? JsonPrimitive)?.takeUnless { it.isString }

private fun JsonElement?.stringOrNull(): String? = (this as? JsonPrimitive)?.takeIf { it.isString }?.content

internal fun JsonObject.string(name: String): String =
    this[name].stringOrNull() ?: throw JsonFieldException("$name is missing or not a string")

internal fun JsonObject.integerOrNull(name: String): Long? = unquoted(name)?.longOrNull

internal fun JsonObject.integer(name: String): Long =
    integerOrNull(name) ?: throw JsonFieldException("$name is missing or not an integer")

/** Returns an integer that is not negative and fits in 32 bits. */
internal fun JsonObject.count(name: String): Int =
    integer(name).takeIf { it in 0..Int.MAX_VALUE }?.toInt() ?: throw JsonFieldException("$name is out of range")

internal fun JsonObject.numberOrNull(name: String): Double? = unquoted(name)?.doubleOrNull

internal fun JsonObject.number(name: String): Double =
    numberOrNull(name) ?: throw JsonFieldException("$name is missing or not a number")

/** Returns false if the field is missing or not a boolean. */
internal fun JsonObject.boolean(name: String): Boolean = unquoted(name)?.booleanOrNull ?: false

/** Returns the objects of an array. The result is empty if the array is missing. */
internal fun JsonObject.objects(name: String): List<JsonObject> =
    elements(name).map { it as? JsonObject ?: throw JsonFieldException("$name has an element that is not an object") }

/** Returns the strings of an array. The result is empty if the array is missing. */
internal fun JsonObject.strings(name: String): List<String> =
    elements(name).map { it.stringOrNull() ?: throw JsonFieldException("$name has an element that is not a string") }

private fun JsonObject.elements(name: String): List<JsonElement> =
    when (val value = this[name]) {
        null, JsonNull -> emptyList()
        is JsonArray -> value
        else -> throw JsonFieldException("$name is not an array")
    }

/** The platform's objects have fewer than ten levels. */
private const val MAX_NESTING_DEPTH: Int = 64

/** More than fit in an item with the longest configuration. Their objects take up a sixth of the heap. */
private const val MAX_VALUES: Int = 200_000
