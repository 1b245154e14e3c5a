package lacewingweir.state.retry

import kotlin.random.Random

/** Exponential backoff with full jitter between zero and the bound of the attempt. */
public data class Backoff(
    val baseMillis: Long = 20,
    val maxMillis: Long = 500,
) {
    /** Delay before retry number [attempt], which starts at one. */
    public fun delayMillis(
        attempt: Int,
        random: Random,
    ): Long {
        val bound = (baseMillis shl (attempt - 1).coerceIn(0, MAX_SHIFT)).coerceAtMost(maxMillis)
        return random.nextLong(bound + 1)
    }

    private companion object {
        const val MAX_SHIFT: Int = 16
    }
}
