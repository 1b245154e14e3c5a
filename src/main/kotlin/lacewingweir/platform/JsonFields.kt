/** Access to fields of the platform's JSON that insists on their types. */
package lacewingweir.platform

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.doubleOrNull
import kotlinx.serialization.json.longOrNull

/** Parses [bytes] as a JSON object. */
internal fun parseObject(bytes: ByteArray): JsonObject =
    Json.parseToJsonElement(bytes.decodeToString(throwOnInvalidSequence = true)) as? JsonObject
        ?: throw FieldException("not an object")

/** A field that is neither text nor a structure; a number in quotes is text. */
private fun JsonObject.unquoted(name: String): JsonPrimitive? =
    (this[name] as? JsonPrimitive)?.takeUnless { it.isString }

internal fun JsonObject.text(name: String): String = textOrNull(name) ?: throw FieldException("$name is not a text")

internal fun JsonObject.textOrNull(name: String): String? =
    (this[name] as? JsonPrimitive)
        ?.takeIf {
            it.isString
        }?.content

internal fun JsonObject.whole(name: String): Long =
    wholeOrNull(name) ?: throw FieldException("$name is not a whole number")

internal fun JsonObject.wholeOrNull(name: String): Long? =
    (this[name] as? JsonPrimitive)
        ?.takeIf {
            !it.isString
        }?.longOrNull

internal fun JsonObject.number(name: String): Double =
    numberOrNull(name) ?: throw FieldException("$name is not a number")

internal fun JsonObject.numberOrNull(name: String): Double? =
    (this[name] as? JsonPrimitive)
        ?.takeIf {
            !it.isString
        }?.doubleOrNull

internal fun JsonObject.flag(name: String): Boolean = unquoted(name)?.booleanOrNull ?: false

internal fun JsonObject.objects(name: String): List<JsonObject> =
    (this[name] as? JsonArray).orEmpty().filterIsInstance<JsonObject>()

internal fun JsonObject.texts(name: String): List<String> =
    (this[name] as? JsonArray).orEmpty().mapNotNull {
        (it as? JsonPrimitive)
            ?.takeIf { text ->
                text.isString
            }?.content
    }
