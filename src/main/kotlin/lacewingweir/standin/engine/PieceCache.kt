package lacewingweir.standin.engine

import lacewingweir.state.time.MonotonicClock

/** Hashes of cached prompt pieces, dropped when least recently used or unused for a time. */
internal class PieceCache(
    private val capacity: Int,
    private val idleMillis: Long,
    private val clock: MonotonicClock,
) {
    private val lastUsed = LinkedHashMap<Long, Long>(INITIAL_CAPACITY, LOAD_FACTOR, true)
    private var evicted = 0L

    val evictedPieces: Long
        @Synchronized get() = evicted

    /** Number of leading [hashes] that are cached. */
    @Synchronized
    fun cachedPrefixLength(hashes: LongArray): Int {
        dropIdle()
        val hits = hashes.takeWhile { it in lastUsed }.size
        touch(hashes, hits)
        return hits
    }

    @Synchronized
    fun insert(hashes: LongArray) {
        dropIdle()
        touch(hashes, minOf(hashes.size, capacity))
        while (lastUsed.size > capacity) {
            lastUsed.remove(lastUsed.keys.first())
            evicted++
        }
    }

    // Touches the deepest piece first, so that eviction removes it before the pieces that it depends on.
    private fun touch(
        hashes: LongArray,
        count: Int,
    ) {
        val now = clock.nowMillis()
        for (n in count - 1 downTo 0) lastUsed[hashes[n]] = now
    }

    private fun dropIdle() {
        val oldest = clock.nowMillis() - idleMillis
        val iterator = lastUsed.entries.iterator()
        while (iterator.hasNext() && iterator.next().value < oldest) {
            iterator.remove()
            evicted++
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
