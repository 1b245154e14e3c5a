package lacewingweir.state.placement

import kotlin.math.exp

/** Exponentially weighted rate at which this instance places requests. Not thread-safe. */
internal class PlacementRate {
    private var perMilli = 0.0
    private var atMillis = 0L

    fun record(nowMillis: Long) {
        perMilli = perMilli(nowMillis) + 1 / DECAY_MILLIS
        atMillis = nowMillis
    }

    /** Returns the requests per millisecond. */
    fun perMilli(nowMillis: Long): Double = perMilli * exp(-(nowMillis - atMillis).coerceAtLeast(0) / DECAY_MILLIS)

    private companion object {
        /** Follows a burst within a second. */
        const val DECAY_MILLIS: Double = 1_000.0
    }
}
