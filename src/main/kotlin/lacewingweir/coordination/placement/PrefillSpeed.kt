package lacewingweir.coordination.placement

/**
 * Moving average of the prefill speed of a service's engines, in prompt tokens per millisecond.
 *
 * Samples come from requests that were this instance's only ones at an engine. Waiting behind requests of other
 * instances can only make a sample slower, so faster samples get a greater weight.
 */
internal class PrefillSpeed {
    var tokensPerMilli: Double = INITIAL_TOKENS_PER_MILLI
        private set

    fun observe(
        tokens: Double,
        millis: Double,
    ) {
        if (tokens < MIN_SAMPLE_TOKENS || millis <= 0.0) return
        val sample = (tokens / millis).coerceIn(MIN_TOKENS_PER_MILLI, MAX_TOKENS_PER_MILLI)
        val weight = if (sample > tokensPerMilli) FASTER_SAMPLE_WEIGHT else SLOWER_SAMPLE_WEIGHT
        tokensPerMilli += weight * (sample - tokensPerMilli)
    }

    internal companion object {
        /** Assumed before the first sample; the order of magnitude of present engines. */
        const val INITIAL_TOKENS_PER_MILLI: Double = 40.0
        private const val MIN_TOKENS_PER_MILLI: Double = 1.0
        private const val MAX_TOKENS_PER_MILLI: Double = 1_000.0

        /** Fixed costs dominate the prefill time of shorter prompts. */
        private const val MIN_SAMPLE_TOKENS: Double = 1_000.0
        private const val FASTER_SAMPLE_WEIGHT: Double = 0.2
        private const val SLOWER_SAMPLE_WEIGHT: Double = 0.02
    }
}
