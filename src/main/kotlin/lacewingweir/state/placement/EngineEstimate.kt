package lacewingweir.state.placement

/**
 * An instance's estimate of one engine's load, from the engine's reports and the instance's own sends.
 *
 * Reports lag, so what others have running is the report less own requests at that time, fading with the report's age;
 * own requests are counted exactly. Times are of the monotonic clock.
 */
public data class EngineEstimate(
    val ownRunning: Int = 0,
    val ownBacklogTokens: Double = 0.0,
    val othersRunning: Double = 0.0,
    val othersBacklogTokens: Double = 0.0,
    val reportedAtMillis: Long = 0,
    val prefillMillisPerToken: Double = INITIAL_PREFILL_MILLIS_PER_TOKEN,
    val missedShare: Double = 1.0,
) {
    /** The estimate after a request that is expected to compute [tokens] was sent. */
    public fun sent(tokens: Double): EngineEstimate =
        copy(ownRunning = ownRunning + 1, ownBacklogTokens = ownBacklogTokens + tokens)

    /** The estimate after the first token of a request that was expected to compute [tokens]. */
    public fun firstToken(tokens: Double): EngineEstimate =
        copy(ownBacklogTokens = (ownBacklogTokens - tokens).coerceAtLeast(0.0))

    /** The estimate after a request ended. */
    public fun finished(): EngineEstimate = copy(ownRunning = (ownRunning - 1).coerceAtLeast(0))

    /** The estimate after a load report. */
    public fun reported(
        running: Int,
        prefillTokens: Long,
        nowMillis: Long,
    ): EngineEstimate =
        copy(
            othersRunning = (running - ownRunning).coerceAtLeast(0).toDouble(),
            othersBacklogTokens = (prefillTokens * missedShare - ownBacklogTokens).coerceAtLeast(0.0),
            reportedAtMillis = nowMillis,
        )

    /**
     * The estimate after an answer with [missed] of [prompt] tokens not cached. Load reports count whole prompts, of
     * which only this share has to be computed.
     */
    public fun cacheMissObserved(
        missed: Double,
        prompt: Long,
    ): EngineEstimate {
        if (prompt < MIN_OBSERVED_TOKENS) return this
        val share = (missed / prompt).coerceIn(0.0, 1.0)
        return copy(missedShare = missedShare + MISS_WEIGHT * (share - missedShare))
    }

    /** The estimate after a request with nothing before it took [millis] to compute [tokens]. */
    public fun prefillObserved(
        tokens: Double,
        millis: Double,
    ): EngineEstimate {
        if (tokens < MIN_OBSERVED_TOKENS) return this
        val sample = (millis / tokens).coerceIn(MIN_PREFILL_MILLIS_PER_TOKEN, MAX_PREFILL_MILLIS_PER_TOKEN)
        val weight = if (sample < prefillMillisPerToken) LOWER_SAMPLE_WEIGHT else HIGHER_SAMPLE_WEIGHT
        return copy(prefillMillisPerToken = prefillMillisPerToken + weight * (sample - prefillMillisPerToken))
    }

    /** Requests that the engine is thought to have running or waiting at [nowMillis]. */
    public fun runningAt(nowMillis: Long): Double {
        val age = (nowMillis - reportedAtMillis).coerceAtLeast(0)
        val kept = 1.0 - age.toDouble() / REPORT_FADE_MILLIS
        return ownRunning + othersRunning * kept.coerceIn(0.0, 1.0)
    }

    /** Prompt tokens that the engine is thought to have still to compute at [nowMillis]. */
    public fun backlogTokensAt(nowMillis: Long): Double {
        val drained = (nowMillis - reportedAtMillis).coerceAtLeast(0) / prefillMillisPerToken
        return ownBacklogTokens + (othersBacklogTokens - drained).coerceAtLeast(0.0)
    }

    private companion object {
        /** Prefill cost assumed before the first observation. */
        const val INITIAL_PREFILL_MILLIS_PER_TOKEN: Double = 0.05
        const val MIN_PREFILL_MILLIS_PER_TOKEN: Double = 0.001
        const val MAX_PREFILL_MILLIS_PER_TOKEN: Double = 5.0

        /** Shorter computations are dominated by fixed costs and say little about the cost of a token. */
        const val MIN_OBSERVED_TOKENS: Double = 500.0

        /**
         * A wait behind other instances' requests, which this instance doesn't see, only lengthens a sample. So lower
         * samples weigh more.
         */
        const val LOWER_SAMPLE_WEIGHT: Double = 0.3
        const val HIGHER_SAMPLE_WEIGHT: Double = 0.03

        const val MISS_WEIGHT: Double = 0.1

        /** Age at which a report no longer counts. */
        const val REPORT_FADE_MILLIS: Double = 3_000.0
    }
}
