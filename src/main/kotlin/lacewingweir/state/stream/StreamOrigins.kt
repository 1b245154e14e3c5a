package lacewingweir.state.stream

/**
 * Where streams began, by what identifies them. Entries are kept for [retentionMillis], and at most [maxEntries].
 *
 * Not thread-safe; the owner synchronizes. Times are of the monotonic clock.
 */
internal class StreamOrigins<K : Any>(
    private val retentionMillis: Long,
    private val maxEntries: Int,
) {
    private class Entry(
        val origin: StreamOrigin,
        val atMillis: Long,
    )

    private val entries = LinkedHashMap<K, Entry>()

    val size: Int
        get() = entries.size

    fun put(
        stream: K,
        origin: StreamOrigin,
        nowMillis: Long,
    ) {
        entries.remove(stream)
        entries[stream] = Entry(origin, nowMillis)
        val oldest = entries.values.iterator()
        while (oldest.hasNext()) {
            if (nowMillis - oldest.next().atMillis <= retentionMillis && entries.size <= maxEntries) break
            oldest.remove()
        }
    }

    operator fun get(stream: K): StreamOrigin? = entries[stream]?.origin

    /** Returns the entries that [selects] accepts. */
    fun filter(selects: (StreamOrigin) -> Boolean): Map<K, StreamOrigin> =
        entries.filterValues { selects(it.origin) }.mapValues { it.value.origin }
}
