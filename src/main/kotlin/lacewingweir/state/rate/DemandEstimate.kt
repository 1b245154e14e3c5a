package lacewingweir.state.rate

import kotlin.math.exp

/**
 * Estimates recent demand in tokens per second as an exponentially weighted moving average.
 */
public class DemandEstimate(
    private val timeConstantMillis: Double = 1_500.0,
) {
    private var weightedTokens = 0.0
    private var lastMillis = Long.MIN_VALUE

    /** Adds [tokens] requested at [nowMillis]. */
    public fun add(
        tokens: Long,
        nowMillis: Long,
    ) {
        decay(nowMillis)
        weightedTokens += tokens
    }

    /** Returns the estimated demand at [nowMillis], in tokens per second. */
    public fun tokensPerSecond(nowMillis: Long): Double {
        decay(nowMillis)
        return weightedTokens * MILLIS_PER_SECOND / timeConstantMillis
    }

    private fun decay(nowMillis: Long) {
        if (nowMillis <= lastMillis) return
        if (weightedTokens > 0.0) weightedTokens *= exp((lastMillis - nowMillis) / timeConstantMillis)
        lastMillis = nowMillis
    }

    private companion object {
        private const val MILLIS_PER_SECOND = 1_000.0
    }
}
