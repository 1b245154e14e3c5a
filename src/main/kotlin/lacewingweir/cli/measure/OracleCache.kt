package lacewingweir.cli.measure

/**
 * The cache that the oracle hit rate is computed with: one LRU cache of all engines' total size that every request
 * reaches, with the engines' idle eviction.
 *
 * It is an upper bound for placement: no piece is held twice, and no request is kept from its pieces by load. Requests
 * are served in the order in which they were due.
 */
internal class OracleCache(
    private val capacity: Int,
    private val idleSeconds: Double,
) {
    private val lastUsed = LinkedHashMap<Long, Double>(INITIAL_CAPACITY, LOAD_FACTOR, true)

    /** Serves a prompt and returns how many of its leading [pieces] were cached. */
    fun serve(
        pieces: LongArray,
        nowSeconds: Double,
    ): Int {
        val iterator = lastUsed.entries.iterator()
        while (iterator.hasNext() && iterator.next().value < nowSeconds - idleSeconds) iterator.remove()
        val hits = pieces.takeWhile { it in lastUsed }.size
        // The deepest piece is touched first, so that eviction takes it before the pieces that it depends on.
        for (piece in pieces.reversed()) lastUsed[piece] = nowSeconds
        while (lastUsed.size > capacity) lastUsed.remove(lastUsed.keys.first())
        return hits
    }

    private companion object {
        const val INITIAL_CAPACITY: Int = 1_024
        const val LOAD_FACTOR: Float = 0.75f
    }
}
