/** Access to fields of the platform's JSON that insists on their types. */
package lacewingweir.platform

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.doubleOrNull
import kotlinx.serialization.json.longOrNull

/** Parses [bytes] as a JSON object. */
internal fun parseObject(bytes: ByteArray): JsonObject =
    Json.parseToJsonElement(bytes.decodeToString(throwOnInvalidSequence = true)) as? JsonObject
        ?: throw JsonFieldException("not an object")

/** A field that is neither text nor a structure; a number in quotes is text. */
private fun JsonObject.unquoted(name: String): JsonPrimitive? =
    (this[name] as? JsonPrimitive)?.takeUnless { it.isString }

private fun JsonElement?.textOrNull(): String? = (this as? JsonPrimitive)?.takeIf { it.isString }?.content

internal fun JsonObject.text(name: String): String =
    this[name].textOrNull() ?: throw JsonFieldException("$name is not a text")

internal fun JsonObject.wholeOrNull(name: String): Long? = unquoted(name)?.longOrNull

internal fun JsonObject.whole(name: String): Long =
    wholeOrNull(name) ?: throw JsonFieldException("$name is not a whole number")

internal fun JsonObject.numberOrNull(name: String): Double? = unquoted(name)?.doubleOrNull

internal fun JsonObject.number(name: String): Double =
    numberOrNull(name) ?: throw JsonFieldException("$name is not a number")

/** False if the field is missing. */
internal fun JsonObject.flag(name: String): Boolean = unquoted(name)?.booleanOrNull ?: false

/** The objects of a list; empty if it is missing. */
internal fun JsonObject.objects(name: String): List<JsonObject> =
    (this[name] as? JsonArray).orEmpty().filterIsInstance<JsonObject>()

/** The texts of a list; empty if it is missing. */
internal fun JsonObject.texts(name: String): List<String> =
    (this[name] as? JsonArray).orEmpty().mapNotNull { it.textOrNull() }
