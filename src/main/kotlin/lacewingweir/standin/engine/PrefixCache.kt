package lacewingweir.standin.engine

import lacewingweir.state.time.MonotonicClock

/**
 * A prefix cache. It stores the hashes of the cached prompt pieces, but no content.
 *
 * Evicts the least recently used piece when [capacity] is exceeded, and pieces that were not used for [idleMillis].
 */
internal class PrefixCache(
    private val capacity: Int,
    private val idleMillis: Long,
    private val clock: MonotonicClock,
) {
    private val lastUsed = LinkedHashMap<Long, Long>(INITIAL_CAPACITY, LOAD_FACTOR, true)
    private var evictedCount = 0L

    val evictedPieces: Long
        @Synchronized get() = evictedCount

    /** Returns how many of the first [hashes] are cached without a gap, and marks them as used. */
    @Synchronized
    fun cachedPrefixLength(hashes: LongArray): Int {
        evictIdle()
        val hits = hashes.takeWhile { it in lastUsed }.size
        markUsed(hashes, hits)
        return hits
    }

    @Synchronized
    fun insert(hashes: LongArray) {
        evictIdle()
        markUsed(hashes, minOf(hashes.size, capacity))
        while (lastUsed.size > capacity) {
            lastUsed.remove(lastUsed.keys.first())
            evictedCount++
        }
    }

    // Marks the last piece first, so that it is evicted before the pieces of the prefix on which it depends.
    private fun markUsed(
        hashes: LongArray,
        count: Int,
    ) {
        val now = clock.nowMillis()
        for (n in count - 1 downTo 0) lastUsed[hashes[n]] = now
    }

    private fun evictIdle() {
        val oldestAllowed = clock.nowMillis() - idleMillis
        val iterator = lastUsed.entries.iterator()
        while (iterator.hasNext() && iterator.next().value < oldestAllowed) {
            iterator.remove()
            evictedCount++
        }
    }

    @Synchronized
    fun clear() {
        lastUsed.clear()
    }

    private companion object {
        const val INITIAL_CAPACITY: Int = 64
        const val LOAD_FACTOR: Float = 0.75f
    }
}
