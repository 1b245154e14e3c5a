package lacewingweir.cli.measure

/**
 * A simulated prefix cache that gives the oracle hit rate.
 *
 * It is a single LRU cache with the total capacity of all engines, shared by all requests, with the engines' idle
 * eviction. Its hit rate is an upper bound for any placement: no piece is stored twice, and no request is sent to an
 * engine without its pieces because of load. Requests must be served in the order in which they were due.
 */
internal class OracleCache(
    private val capacity: Int,
    private val idleSeconds: Double,
) {
    private val lastUsedSeconds = LinkedHashMap<Long, Double>(INITIAL_CAPACITY, LOAD_FACTOR, true)

    /** Caches the [pieces] of a prompt and returns how many leading ones were already cached. */
    fun serve(
        pieces: LongArray,
        nowSeconds: Double,
    ): Int {
        val oldestFirst = lastUsedSeconds.entries.iterator()
        while (oldestFirst.hasNext() && oldestFirst.next().value < nowSeconds - idleSeconds) oldestFirst.remove()
        val hits = pieces.takeWhile { it in lastUsedSeconds }.size
        // The last piece becomes the least recently used, so that it is evicted before the pieces that it builds on.
        for (piece in pieces.reversed()) lastUsedSeconds[piece] = nowSeconds
        while (lastUsedSeconds.size > capacity) lastUsedSeconds.remove(lastUsedSeconds.keys.first())
        return hits
    }

    private companion object {
        const val INITIAL_CAPACITY: Int = 1_024
        const val LOAD_FACTOR: Float = 0.75f
    }
}
