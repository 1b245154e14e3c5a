package lacewingweir.standin.platform

import lacewingweir.state.time.MonotonicClock

/** A token bucket whose capacity is the number of calls in one second. */
internal class CallLimiter(
    private val callsPerSecond: Int,
    private val clock: MonotonicClock,
) {
    private var tokens = callsPerSecond.toDouble()
    private var refilledAtMillis = clock.nowMillis()

    @Synchronized
    fun tryAcquire(): Boolean {
        refill()
        if (tokens < 1.0) return false
        tokens -= 1.0
        return true
    }

    /** Takes a token for a call that is already in progress. The number of tokens may become negative. */
    @Synchronized
    fun charge() {
        refill()
        tokens -= 1.0
    }

    private fun refill() {
        val now = clock.nowMillis()
        tokens =
            minOf(callsPerSecond.toDouble(), tokens + (now - refilledAtMillis) * callsPerSecond / MILLIS_PER_SECOND)
        refilledAtMillis = now
    }

    private companion object {
        const val MILLIS_PER_SECOND: Double = 1_000.0
    }
}
