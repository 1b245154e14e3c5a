package lacewingweir.state.stream

import lacewingweir.state.id.RequestId

/**
 * Where streams began, by the call that brought their first event. Entries are kept for [retentionMillis].
 *
 * Not thread-safe; the owner synchronizes. Times are of the monotonic clock.
 */
internal class StreamOrigins(
    private val retentionMillis: Long,
) {
    private class Entry(
        val origin: StreamOrigin,
        val atMillis: Long,
    )

    private val entries = LinkedHashMap<RequestId, Entry>()

    val size: Int
        get() = entries.size

    fun put(
        call: RequestId,
        origin: StreamOrigin,
        nowMillis: Long,
    ) {
        entries.remove(call)
        entries[call] = Entry(origin, nowMillis)
        val oldest = entries.values.iterator()
        while (oldest.hasNext()) {
            if (nowMillis - oldest.next().atMillis <= retentionMillis && entries.size <= MAX_ENTRIES) break
            oldest.remove()
        }
    }

    operator fun get(call: RequestId): StreamOrigin? = entries[call]?.origin

    /** Returns the entries that [selects] accepts. */
    fun filter(selects: (StreamOrigin) -> Boolean): Map<RequestId, StreamOrigin> =
        entries.filterValues { selects(it.origin) }.mapValues { it.value.origin }

    private companion object {
        /** Limits memory to about two megabytes. */
        const val MAX_ENTRIES: Int = 8_192
    }
}
