package lacewingweir.coordination.crash

/** The latest [capacity] entries that are news for the peers, in the order in which they were put. */
internal class RecentNews<K, V>(
    private val capacity: Int,
) {
    private class Entry<V>(
        val atMillis: Long,
        val value: V,
    )

    private val entries = LinkedHashMap<K, Entry<V>>()

    val values: List<V>
        get() = entries.values.map { it.value }

    val isEmpty: Boolean
        get() = entries.isEmpty()

    operator fun get(key: K): V? = entries[key]?.value

    operator fun contains(key: K): Boolean = key in entries

    fun put(
        key: K,
        value: V,
        nowMillis: Long,
    ) {
        entries.remove(key)
        entries[key] = Entry(nowMillis, value)
        if (entries.size > capacity) entries.remove(entries.keys.first())
    }

    /** Removes entries put before [oldestMillis], except those that [keep] selects. */
    fun removeOlderThan(
        oldestMillis: Long,
        keep: (V) -> Boolean = { false },
    ) {
        entries.values.removeIf { it.atMillis < oldestMillis && !keep(it.value) }
    }

    fun clear() = entries.clear()
}
