package lacewingweir.protocol.engine

import java.io.ByteArrayOutputStream

/**
 * Splits a byte stream into server-sent events as the bytes arrive.
 *
 * Holds at most one unfinished event of [maxEventBytes]. After an event exceeded that, the reader has failed for good.
 * Unlike in browsers an `id` doesn't carry over to later events. Not safe for use by several threads.
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

    /** Whether the bytes so far end in the middle of an event. */
    public val hasPartialEvent: Boolean
        get() = eventBytes > 0

    /** Takes the next [bytes] and returns the events that they complete, or null if an event is too long. */
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
        /** Bound of one event unless set otherwise. A chunk with one token is a few hundred bytes. */
        public const val DEFAULT_MAX_EVENT_BYTES: Int = 256 * 1024

        private const val CARRIAGE_RETURN: Byte = 13
        private const val LINE_FEED: Byte = 10
    }
}
