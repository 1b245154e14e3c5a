package lacewingweir.protocol.engine

import java.io.ByteArrayOutputStream

/**
 * Parses server-sent events incrementally from a byte stream.
 *
 * Buffers at most one incomplete event of [maxEventBytes]. An event that exceeds this limit makes the reader fail
 * permanently. Unlike in browsers, the `id` of an event does not apply to later events. Not thread-safe.
 */
public class SseReader(
    private val maxEventBytes: Int = DEFAULT_MAX_EVENT_BYTES,
) {
    private val line = ByteArrayOutputStream()
    private val data = StringBuilder()
    private var hasData = false
    private var id: String? = null
    private var event: String? = null
    private var eventBytes = 0
    private var afterCarriageReturn = false
    private var failed = false

    /** Whether the bytes so far end within an event. */
    public val hasPartialEvent: Boolean
        get() = eventBytes > 0

    /** Appends [bytes] and returns the events that they complete, or null if the reader has failed. */
    public fun feed(bytes: ByteArray): List<SseEvent>? {
        if (failed) return null
        val events = ArrayList<SseEvent>()
        for (byte in bytes) {
            val followsCarriageReturn = afterCarriageReturn
            afterCarriageReturn = false
            when (byte) {
                CARRIAGE_RETURN -> {
                    afterCarriageReturn = true
                    endLine(events)
                }
                LINE_FEED -> if (!followsCarriageReturn) endLine(events)
                else -> append(byte)
            }
            if (failed) return null
        }
        return events
    }

    private fun append(byte: Byte) {
        if (++eventBytes > maxEventBytes) failed = true else line.write(byte.toInt())
    }

    private fun endLine(events: MutableList<SseEvent>) {
        if (line.size() == 0) {
            if (hasData) events.add(SseEvent(id, event, data.toString()))
            reset()
            return
        }
        val text = line.toByteArray().decodeToString()
        line.reset()
        val field = text.substringBefore(':')
        val value = text.substringAfter(':', "").removePrefix(" ")
        when (field) {
            "data" -> {
                if (hasData) data.append('\n')
                data.append(value)
                hasData = true
            }
            "id" -> id = value
            "event" -> event = value
        }
    }

    private fun reset() {
        data.setLength(0)
        hasData = false
        id = null
        event = null
        eventBytes = 0
    }

    public companion object {
        /** Default size limit of an event. For comparison, a chunk with one token is a few hundred bytes. */
        public const val DEFAULT_MAX_EVENT_BYTES: Int = 256 * 1024

        private const val CARRIAGE_RETURN: Byte = 13
        private const val LINE_FEED: Byte = 10
    }
}
