package lacewingweir.protocol.json

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive

/**
 * A position in a JSON document that is being checked.
 *
 * Reading a value that is missing or malformed records a mistake and returns a placeholder (empty text, the lowest
 * number, an empty list), so that the rest of the document is still checked. A document with a mistake must not be
 * used. A muted cursor records nothing; children of a value of the wrong type are muted, since one mistake is enough.
 */
internal class JsonCursor private constructor(
    private val element: JsonElement?,
    val path: String,
    private val errors: MutableMap<String, ValidationError>,
    private val muted: Boolean,
) {
    /** Whether the document has a value here. `null` counts as a value. */
    val isPresent: Boolean get() = element != null

    /** Whether the value here is a list. */
    val isList: Boolean get() = element is JsonArray

    /** The names of the fields, in document order; empty if this is not an object. */
    val fieldNames: List<String> get() = (element as? JsonObject)?.keys?.toList().orEmpty()

    /** Records that the value here is wrong. Only the first mistake of a path is kept; later ones follow from it. */
    fun report(
        allowed: String,
        found: String = shown(element),
    ) {
        val shownPath = path.ifEmpty { ROOT }
        if (!muted) errors.putIfAbsent(shownPath, ValidationError(shownPath, found, allowed))
    }

    /** Requires an object here that has no other fields than [known]. */
    fun requireObject(vararg known: String): JsonCursor = requireObject(known.asList())

    /** Requires an object here that has no other fields than [known]. */
    fun requireObject(known: List<String>): JsonCursor {
        if (element !is JsonObject) {
            report("an object with the fields ${known.joinToString()}")
            return JsonCursor(null, path, errors, muted = true)
        }
        for (name in element.keys - known.toSet()) {
            field(name).report("no such field; known are ${known.joinToString()}")
        }
        return this
    }

    /** The value of the field [name]. */
    fun field(name: String): JsonCursor =
        JsonCursor((element as? JsonObject)?.get(name), if (path.isEmpty()) name else "$path.$name", errors, muted)

    /** The items of a list; a missing list is a mistake unless [optional]. */
    fun items(
        optional: Boolean = false,
        minSize: Int = 0,
        of: String = "values",
    ): List<JsonCursor> {
        if (element == null && optional) return emptyList()
        if (element !is JsonArray || element.size < minSize) {
            report(if (minSize > 0) "a list of at least $minSize $of" else "a list of $of")
        }
        return (element as? JsonArray)
            ?.mapIndexed { i, item -> JsonCursor(item, "$path[$i]", errors, muted) }
            .orEmpty()
    }

    /** A text that [rule] accepts. */
    fun text(
        rule: TextRule,
        secret: Boolean = false,
    ): String {
        val text = (element as? JsonPrimitive)?.takeIf { it.isString }?.content
        if (text != null && rule.accepts(text)) return text
        if (secret && element != null) report(rule.allowed, found = "(hidden)") else report(rule.allowed)
        return ""
    }

    /** A whole number in [range]; [default] if there is no value. */
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

    /** `true` or `false`; [default] if there is no value. */
    fun boolean(default: Boolean): Boolean {
        if (element == null) return default
        val value = (element as? JsonPrimitive)?.takeIf { !it.isString }?.content?.toBooleanStrictOrNull()
        if (value == null) report("true or false")
        return value ?: default
    }

    /** One of the texts in [choices]; [default] if there is no value. */
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
        private const val SHOWN_CHARS: Int = 80

        /** Parses [text] and reads it with [read]. Never throws for a malformed document. */
        fun <T> check(
            text: String,
            read: (JsonCursor) -> T,
        ): Validated<T> {
            if (JsonNesting.maxNestingDepth(text.length) { text[it] } > MAX_DEPTH) {
                val mistake =
                    ValidationError(ROOT, "values nested more than $MAX_DEPTH levels deep", "at most $MAX_DEPTH levels")
                return Validated.Invalid(listOf(mistake))
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
            val value = read(JsonCursor(root, "", errors, muted = false))
            return if (errors.isEmpty()) Validated.Valid(value) else Validated.Invalid(errors.values.toList())
        }

        private fun shown(element: JsonElement?): String =
            when (element) {
                null -> "nothing"
                JsonNull -> "null"
                else -> element.toString().let { if (it.length > SHOWN_CHARS) it.take(SHOWN_CHARS) + "..." else it }
            }
    }
}

/** Reports every item whose [id] already occurred. Placeholders of malformed ids are passed over. */
internal fun List<JsonCursor>.reportDuplicates(
    field: String,
    id: (Int) -> String,
) {
    val first = HashMap<String, String>()
    forEachIndexed { i, item ->
        val cursor = if (field.isEmpty()) item else item.field(field)
        val value = id(i)
        val earlier = if (value.isEmpty()) null else first.putIfAbsent(value, cursor.path)
        if (earlier != null) cursor.report("a value that occurs once; $earlier has it too")
    }
}
