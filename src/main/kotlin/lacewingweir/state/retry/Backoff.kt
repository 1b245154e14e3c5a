package lacewingweir.state.retry

import kotlin.random.Random

/**
 * Exponential backoff with full jitter. The upper bound of the delay starts at [baseMillis] and doubles with each retry
 * up to [maxMillis].
 */
public data class Backoff(
    val baseMillis: Long = 20,
    val maxMillis: Long = 500,
) {
    /** Returns a random delay before retry number [attempt]. The first retry has number one. */
    public fun delayMillis(
        attempt: Int,
        random: Random,
    ): Long {
        val maxDelayMillis = (baseMillis shl (attempt - 1).coerceIn(0, MAX_SHIFT)).coerceAtMost(maxMillis)
        return random.nextLong(maxDelayMillis + 1)
    }

    private companion object {
        const val MAX_SHIFT: Int = 16
    }
}
