package lacewingweir.transport.relay

/**
 * Splits the bytes of a stream of server-sent events after complete events, without changing the bytes.
 *
 * Events of an answer have ids. A stream that goes on for more than [maxBytesWithoutId] without one [exceedsLimit], and
 * must not be fed any further.
 *
 * Not thread-safe.
 */
internal class SseFramer(
    private val maxBytesWithoutId: Int = MAX_BYTES_WITHOUT_ID,
) {
    private var pending = ByteArray(0)
    private var bytesWithoutId = 0

    /** Id of the last complete event that had an id. */
    var lastId: String? = null
        private set

    /** Id of the first complete event that had an id. */
    var firstId: String? = null
        private set

    /** Whether the number of an event isn't above that of the event before it. */
    var repeatsEvents = false
        private set

    /** Whether the bytes so far end within an event. */
    val hasPartialEvent: Boolean
        get() = pending.isNotEmpty()

    val exceedsLimit: Boolean
        get() = bytesWithoutId > maxBytesWithoutId

    /** Appends [bytes], and returns all pending bytes up to the end of the last complete event, possibly none. */
    fun feed(bytes: ByteArray): ByteArray {
        bytesWithoutId += bytes.size
        val all = if (pending.isEmpty()) bytes else pending + bytes
        val end = endOfLastEvent(all)
        pending = all.copyOfRange(end, all.size)
        val complete = all.copyOf(end)
        readIds(complete)
        return complete
    }

    private fun endOfLastEvent(bytes: ByteArray): Int {
        for (n in bytes.size - 1 downTo 1) {
            if (bytes[n] != LINE_FEED) continue
            val previous = if (bytes[n - 1] == CARRIAGE_RETURN) n - 2 else n - 1
            if (previous >= 0 && bytes[previous] == LINE_FEED) return n + 1
        }
        return 0
    }

    private fun readIds(complete: ByteArray) {
        if (complete.isEmpty()) return
        for (line in complete.decodeToString().lineSequence()) {
            if (!line.startsWith(ID_FIELD)) continue
            val id = line.removePrefix(ID_FIELD).trim()
            if (firstId == null) firstId = id
            if (!isAbove(lastId, id)) repeatsEvents = true
            lastId = id
            bytesWithoutId = pending.size
        }
    }

    private fun isAbove(
        previous: String?,
        id: String,
    ): Boolean {
        val last = previous?.toLongOrNull() ?: return true
        val number = id.toLongOrNull() ?: return true
        return number > last
    }

    private companion object {
        /** An event is a few hundred bytes. */
        const val MAX_BYTES_WITHOUT_ID: Int = 256 * 1024
        const val LINE_FEED: Byte = 10
        const val CARRIAGE_RETURN: Byte = 13
        const val ID_FIELD: String = "id:"
    }
}
