package lacewingweir.state.placement

import lacewingweir.state.id.Incarnation

/**
 * Prompt prefixes that one engine is expected to cache, from the answers that this instance received.
 *
 * Bounded to [maxEntries] with least-recently-used eviction. Engines evict within seconds, so the expected retention
 * time adapts to the cache hits and misses that answers report. Not thread-safe; the owner synchronizes.
 */
public class KnownPrefixes(
    private val maxEntries: Int = DEFAULT_MAX_ENTRIES,
) {
    private val usedAtMillis = LinkedHashMap<Long, Long>()
    private var incarnation: Incarnation? = null

    /** How long an unused prefix is expected to remain in the engine's cache, in milliseconds. */
    public var retentionMillis: Double = INITIAL_RETENTION_MILLIS
        private set

    /** The number of recorded prefixes. */
    public val size: Int
        get() = usedAtMillis.size

    /** Clears all prefixes if the engine has restarted since the last call. Returns whether it has restarted. */
    public fun onIncarnation(current: Incarnation): Boolean {
        val changed = incarnation != null && incarnation != current
        if (changed) usedAtMillis.clear()
        incarnation = current
        return changed
    }

    /**
     * Returns the expected number of cached tokens of [chain] at [nowMillis].
     *
     * Each piece counts in proportion to the confidence that it has not been evicted.
     */
    public fun expectedTokens(
        chain: PrefixChain,
        nowMillis: Long,
    ): Double {
        var tokens = 0.0
        for (hash in chain.hashes) {
            val confidence = usedAtMillis[hash]?.let { confidence(nowMillis - it) } ?: 0.0
            if (confidence <= 0.0) break
            tokens += chain.pieceTokens * confidence
        }
        return tokens
    }

    private fun confidence(ageMillis: Long): Double =
        ((retentionMillis * ZERO_CONFIDENCE_AGE - ageMillis) / retentionMillis).coerceIn(0.0, 1.0)

    /**
     * Records an answer for which [cachedTokens] of the prompt came from the cache, or null if it didn't report this.
     *
     * All of [chain] is in the cache afterwards.
     */
    public fun recordAnswer(
        chain: PrefixChain,
        cachedTokens: Long?,
        nowMillis: Long,
    ) {
        if (cachedTokens != null) learnRetention(chain.pieceTokens, ages(chain, nowMillis), cachedTokens)
        for (hash in chain.hashes) {
            // Removed first, so that the iteration order remains the order of use.
            usedAtMillis.remove(hash)
            usedAtMillis[hash] = nowMillis
        }
        val excess = usedAtMillis.size - maxEntries
        if (excess > 0) usedAtMillis.keys.take(excess).forEach(usedAtMillis::remove)
    }

    /** Returns the milliseconds since each piece of [chain] was last used, null for unknown pieces. */
    public fun ages(
        chain: PrefixChain,
        nowMillis: Long,
    ): List<Long?> = chain.hashes.map { hash -> usedAtMillis[hash]?.let { nowMillis - it } }

    /**
     * Adapts [retentionMillis] to an answer for which [cachedTokens] of the prompt came from the cache.
     *
     * [ages] must be read before the answer is recorded.
     */
    public fun learnRetention(
        pieceTokens: Int,
        ages: List<Long?>,
        cachedTokens: Long,
    ) {
        val cachedPieces = (cachedTokens / pieceTokens).toInt()
        val oldestHitAge = ages.take(cachedPieces).filterNotNull().maxOrNull()
        val firstMissAge = ages.getOrNull(cachedPieces)
        if (oldestHitAge != null) {
            val age = oldestHitAge.toDouble()
            if (age > retentionMillis) retentionMillis += GROW_WEIGHT * (age - retentionMillis)
        }
        if (firstMissAge != null) {
            val age = firstMissAge.toDouble()
            if (age < retentionMillis * ZERO_CONFIDENCE_AGE) retentionMillis += SHRINK_WEIGHT * (age - retentionMillis)
        }
        retentionMillis = retentionMillis.coerceIn(MIN_RETENTION_MILLIS, MAX_RETENTION_MILLIS)
    }

    private companion object {
        const val DEFAULT_MAX_ENTRIES: Int = 4_096
        const val INITIAL_RETENTION_MILLIS: Double = 5_000.0
        const val MIN_RETENTION_MILLIS: Double = 200.0
        const val MAX_RETENTION_MILLIS: Double = 600_000.0

        /**
         * Age, in multiples of the retention time, at which the confidence reaches zero.
         *
         * The confidence is 1 until one retention time before that, and then decreases linearly.
         */
        const val ZERO_CONFIDENCE_AGE: Double = 2.0
        const val GROW_WEIGHT: Double = 0.5
        const val SHRINK_WEIGHT: Double = 0.1
    }
}
