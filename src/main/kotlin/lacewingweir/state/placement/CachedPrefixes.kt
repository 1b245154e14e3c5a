package lacewingweir.state.placement

/**
 * Prompt prefixes that one engine is expected to cache, by the hash of the prefix.
 *
 * Bounded to [capacityTokens] with least-recently-used eviction, as in the engine's cache. Not thread-safe.
 */
internal class CachedPrefixes(
    private val capacityTokens: Long,
) {
    private val tokensByHash = LinkedHashMap<Long, Int>()
    private var totalTokens = 0L

    /**
     * Returns the tokens of a prompt that are expected to be cached.
     *
     * [prefixHashes] and [partTokens] hold the hash of each prefix and the size of its last part, shortest prefix
     * first.
     */
    fun cachedTokens(
        prefixHashes: LongArray,
        partTokens: IntArray,
    ): Double {
        var cached = 0.0
        for (n in prefixHashes.indices) {
            if (prefixHashes[n] !in tokensByHash) break
            cached += partTokens[n]
        }
        return cached
    }

    /** Records that the engine has processed a prompt and so caches all of its prefixes. */
    fun recordPrefill(
        prefixHashes: LongArray,
        partTokens: IntArray,
    ) {
        for (n in prefixHashes.indices) recordPrefill(prefixHashes[n], partTokens[n])
    }

    /** Records that the engine caches the prefix with this [hash], whose last part has [tokens] tokens. */
    fun recordPrefill(
        hash: Long,
        tokens: Int,
    ) {
        // Removed first, so that the iteration order remains the order of use.
        tokensByHash.remove(hash)?.let { totalTokens -= it }
        tokensByHash[hash] = tokens
        totalTokens += tokens
        val oldest = tokensByHash.entries.iterator()
        while (totalTokens > capacityTokens && oldest.hasNext()) {
            totalTokens -= oldest.next().value
            oldest.remove()
        }
    }

    /** Clears all prefixes, after a load of weights has cleared the engine's cache. */
    fun clear() {
        tokensByHash.clear()
        totalTokens = 0
    }
}
