package lacewingweir.testing

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import lacewingweir.transport.http.ClientResponse
import lacewingweir.transport.http.ReadResult

/** The events that a caller received in one streamed answer. */
internal class ChatStream {
    private val buffer = StringBuilder()
    private val content = StringBuilder()
    private var chunks = 0

    /** The concatenated content of the chunks so far. */
    val text: String
        get() = content.toString()

    /** The id of the last event with an id. */
    var lastEventId: String? = null
        private set

    /** Whether the `[DONE]` event arrived. */
    var done: Boolean = false
        private set

    /** The data of the error event, or null if there was none. */
    var error: String? = null
        private set

    /** Whether the HTTP body ended as its framing requires. */
    var ended: Boolean = false
        private set

    private fun feed(bytes: ByteArray) {
        buffer.append(bytes.decodeToString())
        var end = buffer.indexOf("\n\n")
        while (end >= 0) {
            readEvent(buffer.substring(0, end).lines())
            buffer.delete(0, end + 2)
            end = buffer.indexOf("\n\n")
        }
    }

    private fun readEvent(lines: List<String>) {
        lines.firstOrNull { it.startsWith("id:") }?.let { lastEventId = it.removePrefix("id:").trim() }
        val data = lines.firstOrNull { it.startsWith("data:") }?.removePrefix("data:")?.trim() ?: return
        when {
            lines.any { it.startsWith("event:") && "error" in it } -> error = data
            data == "[DONE]" -> done = true
            else -> readChunk(data)
        }
    }

    private fun readChunk(data: String) {
        val choices = Json.parseToJsonElement(data).jsonObject["choices"]?.jsonArray
        val delta = choices?.firstOrNull()?.jsonObject?.get("delta") as? JsonObject
        val text =
            delta
                ?.get("content")
                ?.jsonPrimitive
                ?.contentOrNull
                .orEmpty()
        if (text.isEmpty()) return
        content.append(text)
        chunks++
    }

    companion object {
        /** Reads [response] to its end or until [stopAfter] content chunks, and closes it. */
        suspend fun read(
            response: ClientResponse,
            stopAfter: Int = Int.MAX_VALUE,
        ): ChatStream {
            val stream = ChatStream()
            var part = response.read(40_000)
            while (part is ReadResult.Data && stream.chunks < stopAfter) {
                stream.feed(part.bytes)
                if (stream.chunks < stopAfter) part = response.read(40_000)
            }
            stream.ended = part is ReadResult.End
            response.close()
            return stream
        }
    }
}
