package lacewingweir.protocol.json

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive

/**
 * A position in a JSON document that is being validated.
 *
 * Reading a missing or invalid value records an error and returns a placeholder (empty text, the lowest number, an
 * empty list), so that the rest of the document is still validated. A document with an error must not be used. With
 * [suppressErrors], a cursor records no errors. The fields of a value of the wrong type have such cursors, because the
 * error of the value is already recorded.
 */
internal class JsonCursor private constructor(
    private val element: JsonElement?,
    val path: String,
    private val errors: MutableMap<String, ValidationError>,
    private val suppressErrors: Boolean,
) {
    /** Whether the document has a value at this position. A JSON `null` counts as a value. */
    val isPresent: Boolean get() = element != null

    /** Whether the value is a list. */
    val isList: Boolean get() = element is JsonArray

    /** The names of the fields in document order; empty if the value is not an object. */
    val fieldNames: List<String> get() = (element as? JsonObject)?.keys?.toList().orEmpty()

    /**
     * Records that the value is invalid; [allowed] describes the valid values.
     *
     * Only the first error of a path is kept, because later ones are consequences of it.
     */
    fun report(
        allowed: String,
        found: String = quote(element),
    ) {
        val errorPath = path.ifEmpty { ROOT }
        if (!suppressErrors) errors.putIfAbsent(errorPath, ValidationError(errorPath, found, allowed))
    }

    /** Reports an error unless the value is an object whose fields are all in [allowedFields]. */
    fun requireObject(vararg allowedFields: String): JsonCursor = requireObject(allowedFields.asList())

    /** Reports an error unless the value is an object whose fields are all in [allowedFields]. */
    fun requireObject(allowedFields: List<String>): JsonCursor {
        if (element !is JsonObject) {
            report("an object with the fields ${allowedFields.joinToString()}")
            return JsonCursor(null, path, errors, suppressErrors = true)
        }
        for (name in element.keys - allowedFields.toSet()) {
            field(name).report("no field of this name; allowed fields are ${allowedFields.joinToString()}")
        }
        return this
    }

    /** Returns a cursor at the field [name]. */
    fun field(name: String): JsonCursor =
        JsonCursor(
            (element as? JsonObject)?.get(name),
            if (path.isEmpty()) name else "$path.$name",
            errors,
            suppressErrors,
        )

    /**
     * Returns a cursor for each item of a list. A missing list is an error unless it is [optional].
     *
     * [contents] describes the items in error messages.
     */
    fun items(
        optional: Boolean = false,
        minSize: Int = 0,
        contents: String = "values",
    ): List<JsonCursor> {
        if (element == null && optional) return emptyList()
        if (element !is JsonArray || element.size < minSize) {
            report(if (minSize > 0) "a list of at least $minSize $contents" else "a list of $contents")
        }
        return (element as? JsonArray)
            ?.mapIndexed { i, item -> JsonCursor(item, "$path[$i]", errors, suppressErrors) }
            .orEmpty()
    }

    /** Reads a text that satisfies [rule]. The value of a [secret] is left out of the error. */
    fun text(
        rule: TextRule,
        secret: Boolean = false,
    ): String {
        val text = (element as? JsonPrimitive)?.takeIf { it.isString }?.content
        if (text != null && rule.accepts(text)) return text
        if (secret && element != null) report(rule.allowed, found = "(hidden)") else report(rule.allowed)
        return ""
    }

    /** Reads a whole number in [range]. A missing value yields [default]; without a default it is an error. */
    fun integer(
        range: LongRange,
        default: Long? = null,
        unit: String = "",
    ): Long {
        if (element == null && default != null) return default
        val number = (element as? JsonPrimitive)?.takeIf { !it.isString }?.content?.toLongOrNull()
        if (number != null && number in range) return number
        report("a whole number from ${range.first} to ${range.last}$unit")
        return range.first
    }

    /** Reads a boolean. A missing value yields [default]. */
    fun boolean(default: Boolean): Boolean {
        if (element == null) return default
        val value = (element as? JsonPrimitive)?.takeIf { !it.isString }?.content?.toBooleanStrictOrNull()
        if (value == null) report("true or false")
        return value ?: default
    }

    /** Reads one of the texts in [choices]. A missing value yields [default]; without a default it is an error. */
    fun <T : Any> choice(
        choices: Map<String, T>,
        default: T? = null,
    ): T {
        if (element == null && default != null) return default
        val chosen = (element as? JsonPrimitive)?.takeIf { it.isString }?.let { choices[it.content] }
        if (chosen == null) report("one of ${choices.keys.joinToString()}")
        return chosen ?: choices.values.first()
    }

    companion object {
        private const val ROOT: String = "(document)"
        private const val MAX_DEPTH: Int = 32
        private const val QUOTED_CHARS: Int = 80

        /** Parses [text] and reads it with [read]. Returns [Validated.Invalid] if the document is malformed. */
        fun <T> check(
            text: String,
            read: (JsonCursor) -> T,
        ): Validated<T> {
            if (JsonNesting.maxNestingDepth(text.length) { text[it] } > MAX_DEPTH) {
                val error =
                    ValidationError(ROOT, "values nested more than $MAX_DEPTH levels deep", "at most $MAX_DEPTH levels")
                return Validated.Invalid(listOf(error))
            }
            val root =
                try {
                    Json.parseToJsonElement(text)
                } catch (e: SerializationException) {
                    val reason =
                        e.message
                            .orEmpty()
                            .lineSequence()
                            .first()
                    return Validated.Invalid(
                        listOf(ValidationError(ROOT, "malformed JSON ($reason)", "a JSON object")),
                    )
                }
            val errors = LinkedHashMap<String, ValidationError>()
            val value = read(JsonCursor(root, "", errors, suppressErrors = false))
            return if (errors.isEmpty()) Validated.Valid(value) else Validated.Invalid(errors.values.toList())
        }

        private fun quote(element: JsonElement?): String =
            when (element) {
                null -> "nothing"
                JsonNull -> "null"
                else -> element.toString().let { if (it.length > QUOTED_CHARS) it.take(QUOTED_CHARS) + "..." else it }
            }
    }
}

/**
 * Reports every item whose [id] occurred before. Empty ids are ignored, because they stand for missing or invalid
 * values.
 *
 * The error is recorded at [field] of the item, or at the item itself if [field] is empty.
 */
internal fun List<JsonCursor>.reportDuplicates(
    field: String,
    id: (Int) -> String,
) {
    val pathById = HashMap<String, String>()
    forEachIndexed { i, item ->
        val cursor = if (field.isEmpty()) item else item.field(field)
        val value = id(i)
        val firstPath = if (value.isEmpty()) null else pathById.putIfAbsent(value, cursor.path)
        if (firstPath != null) cursor.report("a unique value; $firstPath has the same value")
    }
}
