package lacewingweir.cli.operations

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import lacewingweir.protocol.bundle.BundleText
import lacewingweir.state.bundle.Bundle

/** Compares bundles. Items of lists are matched by id or name, not by position. */
internal object BundleDiff {
    /** Returns a line for each value that was added (`+`), removed (`-`) or changed (`~`), sorted by path. */
    fun lines(
        old: Bundle,
        new: Bundle,
    ): List<String> {
        val oldValues = flatten(old)
        val newValues = flatten(new)
        return (oldValues.keys + newValues.keys).sorted().mapNotNull { path ->
            val from = oldValues[path]
            val to = newValues[path]
            when {
                from == to -> null
                from == null -> "+ $path: $to"
                to == null -> "- $path: $from"
                else -> "~ $path: $from -> $to"
            }
        }
    }

    private fun flatten(bundle: Bundle): Map<String, String> {
        val values = LinkedHashMap<String, String>()
        collect("", Json.parseToJsonElement(BundleText.canonical(bundle)), values)
        return values
    }

    private fun collect(
        path: String,
        element: JsonElement,
        values: MutableMap<String, String>,
    ) {
        when (element) {
            is JsonObject ->
                for ((name, value) in element) collect(if (path.isEmpty()) name else "$path.$name", value, values)
            is JsonArray -> for (item in element) collect("$path[${labelOf(item)}]", item, values)
            is JsonPrimitive -> values[path] = element.toString()
        }
    }

    private fun labelOf(item: JsonElement): String {
        val label = if (item is JsonObject) item["id"] ?: item["name"] else item
        return (label as? JsonPrimitive)?.content.orEmpty()
    }
}
