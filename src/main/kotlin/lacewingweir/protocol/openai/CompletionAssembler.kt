package lacewingweir.protocol.openai

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.add
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.intOrNull
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray

/** Assembles the chunks of a stream into a `chat.completion`. Not thread-safe. */
public class CompletionAssembler {
    private var firstChunk: ChatChunk? = null
    private var finishReason: String? = null
    private var usage: JsonElement = JsonNull
    private val texts = LinkedHashMap<String, StringBuilder>()
    private val toolCalls = sortedMapOf<Int, ToolCall>()

    /** Adds the next chunk of the stream. */
    public fun add(chunk: ChatChunk) {
        if (firstChunk == null) firstChunk = chunk
        chunk.body["usage"]?.let { if (chunk.usage != null) usage = it }
        chunk.finishReason?.let { finishReason = it }
        val delta = chunk.choice?.get("delta") as? JsonObject ?: return
        for ((field, value) in delta) {
            when {
                field == "tool_calls" && value is JsonArray -> value.forEach(::addToolCall)
                field == "role" -> Unit
                value is JsonPrimitive && value.isString ->
                    texts.getOrPut(field) { StringBuilder() }.append(value.content)
            }
        }
    }

    private fun addToolCall(element: JsonElement) {
        val fields = element as? JsonObject ?: return
        val index = (fields["index"] as? JsonPrimitive)?.intOrNull ?: return
        val toolCall = toolCalls.getOrPut(index) { ToolCall() }
        (fields["id"] as? JsonPrimitive)?.takeIf { it.isString }?.let { toolCall.id = it.content }
        val function = fields["function"] as? JsonObject ?: return
        (function["name"] as? JsonPrimitive)?.takeIf { it.isString }?.let { toolCall.name.append(it.content) }
        (function["arguments"] as? JsonPrimitive)?.takeIf { it.isString }?.let { toolCall.arguments.append(it.content) }
    }

    /** Returns the completion. Must be called only after the end of the stream. */
    public fun completion(): ByteArray {
        val metadataChunk = checkNotNull(firstChunk) { "no chunk was added" }
        val completion =
            buildJsonObject {
                for ((field, value) in metadataChunk.body) {
                    when (field) {
                        "object" -> put(field, "chat.completion")
                        "choices", "usage" -> Unit
                        else -> put(field, value)
                    }
                }
                putJsonArray("choices") { add(choice()) }
                put("usage", usage)
            }
        return Json.encodeToString(JsonObject.serializer(), completion).encodeToByteArray()
    }

    private fun choice(): JsonObject =
        buildJsonObject {
            put("index", 0)
            put(
                "message",
                buildJsonObject {
                    put("role", "assistant")
                    if ("content" !in texts) put("content", if (toolCalls.isEmpty()) JsonPrimitive("") else JsonNull)
                    for ((field, text) in texts) put(field, text.toString())
                    if (toolCalls.isNotEmpty()) {
                        putJsonArray(
                            "tool_calls",
                        ) { toolCalls.values.forEach { add(it.json()) } }
                    }
                },
            )
            put("finish_reason", finishReason)
        }

    private class ToolCall {
        var id: String = ""
        val name = StringBuilder()
        val arguments = StringBuilder()

        fun json(): JsonObject =
            buildJsonObject {
                put("id", id)
                put("type", "function")
                put(
                    "function",
                    buildJsonObject {
                        put("name", name.toString())
                        put("arguments", arguments.toString())
                    },
                )
            }
    }
}
