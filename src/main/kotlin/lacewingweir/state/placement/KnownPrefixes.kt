package lacewingweir.state.placement

import lacewingweir.state.id.Incarnation

/**
 * Prefixes that one engine is known to hold, from the answers that this instance got.
 *
 * Bounded to [maxEntries]; the entry that was used longest ago goes first. Engines evict within seconds, so the time
 * for which entries are trusted follows what the answers say. Not thread-safe; the owner synchronises.
 */
public class KnownPrefixes(
    private val maxEntries: Int = DEFAULT_MAX_ENTRIES,
) {
    private val usedAtMillis = LinkedHashMap<Long, Long>()
    private var incarnation: Incarnation? = null

    /** How long an unused prefix is trusted to stay in the engine's cache, in milliseconds. */
    public var retentionMillis: Double = INITIAL_RETENTION_MILLIS
        private set

    /** Number of prefixes held. */
    public val size: Int
        get() = usedAtMillis.size

    /** Forgets everything if the engine has restarted since. Returns whether it has. */
    public fun onIncarnation(current: Incarnation): Boolean {
        val changed = incarnation != null && incarnation != current
        if (changed) usedAtMillis.clear()
        incarnation = current
        return changed
    }

    /**
     * Tokens of [chain] that the engine is expected to hold at [nowMillis]; entries near their retention count less.
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
        ((retentionMillis * FULL_TRUST_SPAN - ageMillis) / retentionMillis).coerceIn(0.0, 1.0)

    /**
     * Records an answer whose usage said that [cachedTokens] of the prompt came from the cache. All of [chain] is in
     * the cache from now on.
     */
    public fun recordAnswer(
        chain: PrefixChain,
        cachedTokens: Long?,
        nowMillis: Long,
    ) {
        if (cachedTokens != null) learnRetention(chain.pieceTokens, ages(chain, nowMillis), cachedTokens)
        for (hash in chain.hashes) {
            // Removed first, so that the iteration order stays the order of use.
            usedAtMillis.remove(hash)
            usedAtMillis[hash] = nowMillis
        }
        val surplus = usedAtMillis.size - maxEntries
        if (surplus > 0) usedAtMillis.keys.take(surplus).forEach(usedAtMillis::remove)
    }

    /** Milliseconds since each piece of [chain] was used, null for unknown pieces. */
    public fun ages(
        chain: PrefixChain,
        nowMillis: Long,
    ): List<Long?> = chain.hashes.map { hash -> usedAtMillis[hash]?.let { nowMillis - it } }

    /**
     * Adapts the trusted time to an answer of which [cachedTokens] came from the cache. [ages] are those from before
     * the answer was recorded.
     */
    public fun learnRetention(
        pieceTokens: Int,
        ages: List<Long?>,
        cachedTokens: Long,
    ) {
        val cachedPieces = (cachedTokens / pieceTokens).toInt()
        val oldestHit = ages.take(cachedPieces).filterNotNull().maxOrNull()
        val firstMiss = ages.getOrNull(cachedPieces)
        if (oldestHit != null) {
            val age = oldestHit.toDouble()
            if (age > retentionMillis) retentionMillis += GROW_WEIGHT * (age - retentionMillis)
        }
        if (firstMiss != null) {
            val age = firstMiss.toDouble()
            if (age < retentionMillis * FULL_TRUST_SPAN) retentionMillis += SHRINK_WEIGHT * (age - retentionMillis)
        }
        retentionMillis = retentionMillis.coerceIn(MIN_RETENTION_MILLIS, MAX_RETENTION_MILLIS)
    }

    private companion object {
        const val DEFAULT_MAX_ENTRIES: Int = 4_096
        const val INITIAL_RETENTION_MILLIS: Double = 5_000.0
        const val MIN_RETENTION_MILLIS: Double = 200.0
        const val MAX_RETENTION_MILLIS: Double = 600_000.0

        /** An entry is fully trusted up to half this span of retentions and not at all beyond the whole. */
        const val FULL_TRUST_SPAN: Double = 2.0
        const val GROW_WEIGHT: Double = 0.5
        const val SHRINK_WEIGHT: Double = 0.1
    }
}
