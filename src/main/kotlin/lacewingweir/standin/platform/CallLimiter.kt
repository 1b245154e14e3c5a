package lacewingweir.standin.platform

import lacewingweir.state.time.MonotonicClock

/** A token bucket that holds at most one second of calls. */
internal class CallLimiter(
    private val callsPerSecond: Int,
    private val clock: MonotonicClock,
) {
    private var available = callsPerSecond.toDouble()
    private var updatedMillis = clock.nowMillis()

    @Synchronized
    fun tryTake(): Boolean {
        refill()
        if (available < 1.0) return false
        available -= 1.0
        return true
    }

    /** Charges a call that is already in progress, such as a waiting watch. */
    @Synchronized
    fun charge() {
        refill()
        available -= 1.0
    }

    private fun refill() {
        val now = clock.nowMillis()
        available = minOf(callsPerSecond.toDouble(), available + (now - updatedMillis) * callsPerSecond / MILLIS)
        updatedMillis = now
    }

    private companion object {
        const val MILLIS: Double = 1_000.0
    }
}
