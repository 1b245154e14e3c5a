package lacewingweir.protocol.json

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlin.random.Random

/**
 * Makes random changes to a valid document.
 *
 * Values are replaced, removed, duplicated or added, and the text can be truncated or altered.
 */
internal class JsonMutator(
    private val random: Random,
) {
    fun mutate(document: String): String {
        var element = Json.parseToJsonElement(document)
        repeat(random.nextInt(1, 4)) { element = mutateElement(element) }
        val text = element.toString()
        return when (random.nextInt(6)) {
            0 -> text.take(random.nextInt(text.length + 1))
            1 -> text.replaceFirst(text.random(random), Char(random.nextInt(1, 0xffff)))
            else -> text
        }
    }

    private fun mutateElement(element: JsonElement): JsonElement =
        when {
            random.nextInt(8) == 0 -> randomValue()
            element is JsonObject && element.isNotEmpty() -> mutateObject(element)
            element is JsonArray && element.isNotEmpty() -> mutateArray(element)
            else -> randomValue()
        }

    private fun mutateObject(element: JsonObject): JsonObject {
        val name = element.keys.random(random)
        return when (random.nextInt(6)) {
            0 -> JsonObject(element - name)
            1 -> JsonObject(element + ("x${random.nextInt(9)}" to randomValue()))
            else -> JsonObject(element + (name to mutateElement(element.getValue(name))))
        }
    }

    private fun mutateArray(element: JsonArray): JsonArray {
        val i = random.nextInt(element.size)
        return when (random.nextInt(4)) {
            0 -> JsonArray(element.filterIndexed { n, _ -> n != i })
            1 -> JsonArray(element + element[i])
            else -> JsonArray(element.mapIndexed { n, item -> if (n == i) mutateElement(item) else item })
        }
    }

    private fun randomValue(): JsonElement =
        when (random.nextInt(8)) {
            0 -> JsonNull
            1 -> JsonPrimitive(random.nextLong())
            2 -> JsonPrimitive(random.nextDouble())
            3 -> JsonPrimitive(random.nextBoolean())
            4 -> JsonPrimitive(List(random.nextInt(9)) { Char(random.nextInt(32, 0xd7ff)) }.joinToString(""))
            5 -> JsonArray(List(random.nextInt(3)) { JsonPrimitive(it) })
            6 -> JsonPrimitive("1e999")
            else -> JsonObject(mapOf("id" to JsonPrimitive(1)))
        }
}
