package lacewingweir.testing

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import lacewingweir.transport.http.ClientResponse
import lacewingweir.transport.http.ReadResult

/** What a caller saw of one streamed answer. */
internal class ChatStream {
    private val pending = StringBuilder()
    private val content = StringBuilder()
    private var chunks = 0

    /** The answer's text so far. */
    val text: String
        get() = content.toString()

    /** Id of the last event. */
    var lastEventId: String? = null
        private set

    /** Whether `[DONE]` arrived. */
    var done: Boolean = false
        private set

    /** Data of the error event, if one came. */
    var error: String? = null
        private set

    /** Whether the framing of the body was complete. */
    var ended: Boolean = false
        private set

    private fun feed(bytes: ByteArray) {
        pending.append(bytes.decodeToString())
        var end = pending.indexOf("\n\n")
        while (end >= 0) {
            event(pending.substring(0, end).lines())
            pending.delete(0, end + 2)
            end = pending.indexOf("\n\n")
        }
    }

    private fun event(lines: List<String>) {
        lines.firstOrNull { it.startsWith("id:") }?.let { lastEventId = it.removePrefix("id:").trim() }
        val data = lines.firstOrNull { it.startsWith("data:") }?.removePrefix("data:")?.trim() ?: return
        when {
            lines.any { it.startsWith("event:") && "error" in it } -> error = data
            data == "[DONE]" -> done = true
            else -> chunk(data)
        }
    }

    private fun chunk(data: String) {
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
        /** Reads the stream to its end, or until [stopAfter] content chunks, after which the connection is closed. */
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
