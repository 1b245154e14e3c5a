package lacewingweir.state.placement

/**
 * Beginnings of prompts that one engine has read for this instance, by chain hash, in order of use. Bounded by the
 * tokens that the engine can hold; the beginning that was used longest ago goes first. Not thread-safe.
 */
internal class CachedPrefixes(
    private val capacityTokens: Long,
) {
    private val tokensByHash = LinkedHashMap<Long, Int>()
    private var heldTokens = 0L

    /** Tokens of a prompt with this [chain] and these part sizes that are expected to be cached. */
    fun held(
        chain: LongArray,
        tokens: IntArray,
    ): Double {
        var held = 0.0
        for (n in chain.indices) {
            if (chain[n] !in tokensByHash) break
            held += tokens[n]
        }
        return held
    }

    /** Records that the engine has read the prompt. */
    fun read(
        chain: LongArray,
        tokens: IntArray,
    ) {
        for (n in chain.indices) read(chain[n], tokens[n])
    }

    /** Records that the engine has read the beginning with this [hash], whose last part has [tokens]. */
    fun read(
        hash: Long,
        tokens: Int,
    ) {
        // Removed first, so that the iteration order stays the order of use.
        tokensByHash.remove(hash)?.let { heldTokens -= it }
        tokensByHash[hash] = tokens
        heldTokens += tokens
        val oldest = tokensByHash.entries.iterator()
        while (heldTokens > capacityTokens && oldest.hasNext()) {
            heldTokens -= oldest.next().value
            oldest.remove()
        }
    }

    /** Forgets everything, after a restart or new weights. */
    fun clear() {
        tokensByHash.clear()
        heldTokens = 0
    }
}
