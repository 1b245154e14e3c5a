package lacewingweir.state.placement

import lacewingweir.state.rate.DemandEstimate

/**
 * Rates of the shared prompt prefixes that this instance has received most recently, in tokens to prefill per
 * millisecond. Bounded to [maxPrefixes]; the prefix that has not been requested for longest is evicted. Not
 * thread-safe.
 */
internal class PrefixRates(
    private val maxPrefixes: Int = MAX_PREFIXES,
) {
    private val rates =
        object : LinkedHashMap<Long, DemandEstimate>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
            override fun removeEldestEntry(eldest: Map.Entry<Long, DemandEstimate>) = size > maxPrefixes
        }

    /** Records a request with [tokens] beyond its shared prefix, and returns the rate of the prefix before it. */
    fun record(
        prefix: Long,
        tokens: Long,
        nowMillis: Long,
    ): Double {
        val rate = rates.getOrPut(prefix) { DemandEstimate(DECAY_MILLIS) }
        return (rate.tokensPerSecond(nowMillis) / MILLIS_PER_SECOND).also { rate.add(tokens, nowMillis) }
    }

    private companion object {
        const val MILLIS_PER_SECOND: Double = 1_000.0
        const val MAX_PREFIXES: Int = 512
        const val INITIAL_CAPACITY: Int = 64
        const val LOAD_FACTOR: Float = 0.75f

        /** Long enough to see a popular prefix among few requests a second, short enough to follow a burst. */
        const val DECAY_MILLIS: Double = 2_000.0
    }
}
