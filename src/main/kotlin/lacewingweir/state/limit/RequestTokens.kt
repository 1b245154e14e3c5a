package lacewingweir.state.limit

/**
 * A token bucket of requests whose rate may change with each call.
 *
 * It starts empty, so that instances that begin to send to an endpoint add nothing to what others have just sent. Not
 * thread-safe. Times are of the monotonic clock.
 */
internal class RequestTokens(
    startMillis: Long,
) {
    private var tokens = 0.0
    private var refilledAtMillis = startMillis

    /** Returns the milliseconds until a token is available at [perSecond], zero if one is now. */
    fun millisUntilAvailable(
        perSecond: Double,
        nowMillis: Long,
    ): Long {
        refill(perSecond, nowMillis)
        if (tokens >= 1.0) return 0
        if (perSecond <= 0.0) return Long.MAX_VALUE
        return ((1.0 - tokens) / perSecond * MILLIS_PER_SECOND).toLong() + 1
    }

    /** Takes a token, or runs up a debt if there is none. */
    fun take(
        perSecond: Double,
        nowMillis: Long,
    ) {
        refill(perSecond, nowMillis)
        tokens -= 1.0
    }

    private fun refill(
        perSecond: Double,
        nowMillis: Long,
    ) {
        val capacity = if (perSecond > 0.0) maxOf(1.0, perSecond * CAPACITY_SECONDS) else 0.0
        val refilled = tokens + perSecond * (nowMillis - refilledAtMillis) / MILLIS_PER_SECOND
        tokens = refilled.coerceAtMost(capacity)
        refilledAtMillis = nowMillis
    }

    private companion object {
        const val MILLIS_PER_SECOND: Double = 1_000.0

        /** Unused requests of this time may be made up for, in seconds. */
        const val CAPACITY_SECONDS: Double = 0.25
    }
}
