package lacewingweir.state.placement

/**
 * An instance's estimate of one engine's load, from the engine's load reports and the instance's own requests.
 *
 * Own requests are counted exactly. The load of other instances is the reported load less that of own requests at the
 * time of the report. Since reports lag, it decreases with the age of the report. Times are of the monotonic clock.
 */
public data class EngineEstimate(
    val ownRunning: Int = 0,
    val ownBacklogTokens: Double = 0.0,
    val othersRunning: Double = 0.0,
    val othersBacklogTokens: Double = 0.0,
    val reportedAtMillis: Long = 0,
    val prefillMillisPerToken: Double = INITIAL_PREFILL_MILLIS_PER_TOKEN,
    val uncachedShare: Double = 1.0,
) {
    /** Returns the estimate after sending a request that is expected to need prefill of [tokens]. */
    public fun sent(tokens: Double): EngineEstimate =
        copy(ownRunning = ownRunning + 1, ownBacklogTokens = ownBacklogTokens + tokens)

    /** Returns the estimate after the first token of a request that was expected to need prefill of [tokens]. */
    public fun firstToken(tokens: Double): EngineEstimate =
        copy(ownBacklogTokens = (ownBacklogTokens - tokens).coerceAtLeast(0.0))

    /** Returns the estimate after the end of a request. */
    public fun finished(): EngineEstimate = copy(ownRunning = (ownRunning - 1).coerceAtLeast(0))

    /** Returns the estimate after a load report with [running] requests and [prefillTokens] of waiting prompts. */
    public fun reported(
        running: Int,
        prefillTokens: Long,
        nowMillis: Long,
    ): EngineEstimate =
        copy(
            othersRunning = (running - ownRunning).coerceAtLeast(0).toDouble(),
            othersBacklogTokens = (prefillTokens * uncachedShare - ownBacklogTokens).coerceAtLeast(0.0),
            reportedAtMillis = nowMillis,
        )

    /**
     * Returns the estimate after an answer for which [uncachedTokens] of the [promptTokens] were not cached.
     *
     * Load reports count whole prompts, of which only the uncached share needs prefill.
     */
    public fun uncachedTokensObserved(
        uncachedTokens: Double,
        promptTokens: Long,
    ): EngineEstimate {
        if (promptTokens < MIN_OBSERVED_TOKENS) return this
        val share = (uncachedTokens / promptTokens).coerceIn(0.0, 1.0)
        return copy(uncachedShare = uncachedShare + UNCACHED_SHARE_SAMPLE_WEIGHT * (share - uncachedShare))
    }

    /**
     * Returns the estimate after the prefill of [tokens] took [millis] for a request with no other waiting before it.
     */
    public fun prefillObserved(
        tokens: Double,
        millis: Double,
    ): EngineEstimate {
        if (tokens < MIN_OBSERVED_TOKENS) return this
        val sample = (millis / tokens).coerceIn(MIN_PREFILL_MILLIS_PER_TOKEN, MAX_PREFILL_MILLIS_PER_TOKEN)
        val weight = if (sample < prefillMillisPerToken) LOWER_SAMPLE_WEIGHT else HIGHER_SAMPLE_WEIGHT
        return copy(prefillMillisPerToken = prefillMillisPerToken + weight * (sample - prefillMillisPerToken))
    }

    /** Returns the estimated number of running and waiting requests at [nowMillis]. */
    public fun runningAt(nowMillis: Long): Double {
        val age = (nowMillis - reportedAtMillis).coerceAtLeast(0)
        val reportWeight = 1.0 - age.toDouble() / REPORT_FADE_MILLIS
        return ownRunning + othersRunning * reportWeight.coerceIn(0.0, 1.0)
    }

    /** Returns the estimated number of prompt tokens that still need prefill at [nowMillis]. */
    public fun backlogTokensAt(nowMillis: Long): Double {
        val processed = (nowMillis - reportedAtMillis).coerceAtLeast(0) / prefillMillisPerToken
        return ownBacklogTokens + (othersBacklogTokens - processed).coerceAtLeast(0.0)
    }

    private companion object {
        /** Prefill time assumed before the first observation. */
        const val INITIAL_PREFILL_MILLIS_PER_TOKEN: Double = 0.05
        const val MIN_PREFILL_MILLIS_PER_TOKEN: Double = 0.001
        const val MAX_PREFILL_MILLIS_PER_TOKEN: Double = 5.0

        /** Fixed costs dominate the prefill of fewer tokens, so such samples say little about the time per token. */
        const val MIN_OBSERVED_TOKENS: Double = 500.0

        /**
         * Waiting behind requests of other instances, which this instance doesn't see, can only lengthen a sample, so
         * lower samples get a greater weight.
         */
        const val LOWER_SAMPLE_WEIGHT: Double = 0.3
        const val HIGHER_SAMPLE_WEIGHT: Double = 0.03

        const val UNCACHED_SHARE_SAMPLE_WEIGHT: Double = 0.1

        /** Age at which the load in a report no longer counts. */
        const val REPORT_FADE_MILLIS: Double = 3_000.0
    }
}
