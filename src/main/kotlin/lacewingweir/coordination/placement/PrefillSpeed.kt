package lacewingweir.coordination.placement

/**
 * Prompt tokens that a service's engines read in a millisecond, learned from requests that found an engine without
 * others of this instance. Waits behind other instances only lengthen a sample, so faster samples weigh more.
 */
internal class PrefillSpeed {
    var tokensPerMilli: Double = INITIAL
        private set

    fun observe(
        tokens: Double,
        millis: Double,
    ) {
        if (tokens < MIN_TOKENS || millis <= 0.0) return
        val sample = (tokens / millis).coerceIn(MIN_SPEED, MAX_SPEED)
        val weight = if (sample > tokensPerMilli) FASTER_WEIGHT else SLOWER_WEIGHT
        tokensPerMilli += weight * (sample - tokensPerMilli)
    }

    internal companion object {
        /** Assumed before the first sample; the order of today's engines. */
        const val INITIAL: Double = 40.0
        private const val MIN_SPEED: Double = 1.0
        private const val MAX_SPEED: Double = 1_000.0

        /** Shorter prompts are dominated by fixed costs. */
        private const val MIN_TOKENS: Double = 1_000.0
        private const val FASTER_WEIGHT: Double = 0.2
        private const val SLOWER_WEIGHT: Double = 0.02
    }
}
