package lacewingweir.state.health

/**
 * The outlier ejection state of one endpoint as seen by one instance. Immutable; times are of the monotonic clock.
 *
 * Consecutive failures eject the endpoint for a time that doubles with each successive ejection. After the ejection the
 * usable share of its slots grows gradually (slow start), so that an engine with an empty cache is not overloaded.
 */
public data class EndpointHealth(
    val consecutiveFailures: Int = 0,
    val ejections: Int = 0,
    val ejectedUntilMillis: Long = 0,
) {
    /** Returns whether the endpoint gets no requests at [nowMillis]. */
    public fun isEjected(nowMillis: Long): Boolean = nowMillis < ejectedUntilMillis

    /** Returns the state after a failed connection or an incomplete or invalid response, which count the same. */
    public fun onFailure(nowMillis: Long): EndpointHealth {
        val failures = consecutiveFailures + 1
        if (failures < FAILURES_TO_EJECT || isEjected(nowMillis)) return copy(consecutiveFailures = failures)
        val millis = (BASE_EJECTION_MILLIS shl ejections.coerceAtMost(MAX_DOUBLINGS)).coerceAtMost(MAX_EJECTION_MILLIS)
        return EndpointHealth(
            consecutiveFailures = failures,
            ejections = ejections + 1,
            ejectedUntilMillis = nowMillis + millis,
        )
    }

    /** Returns the state after a connection could not be made. This ejects the endpoint immediately. */
    public fun onUnreachable(nowMillis: Long): EndpointHealth =
        copy(consecutiveFailures = maxOf(consecutiveFailures, FAILURES_TO_EJECT - 1)).onFailure(nowMillis)

    /** Returns the state after a complete response. */
    public fun onSuccess(nowMillis: Long): EndpointHealth {
        val hasRecovered = ejections > 0 && nowMillis - ejectedUntilMillis > RECOVERY_MILLIS
        return copy(consecutiveFailures = 0, ejections = if (hasRecovered) 0 else ejections)
    }

    /** Returns the share of the endpoint's slots that may be used at [nowMillis], between zero and one. */
    public fun slotShare(nowMillis: Long): Double {
        if (isEjected(nowMillis)) return 0.0
        if (ejections == 0) return 1.0
        val sinceReturn = (nowMillis - ejectedUntilMillis).toDouble()
        return (sinceReturn / SLOW_START_MILLIS).coerceIn(MIN_SLOT_SHARE, 1.0)
    }

    private companion object {
        const val FAILURES_TO_EJECT: Int = 2
        const val BASE_EJECTION_MILLIS: Long = 1_000
        const val MAX_EJECTION_MILLIS: Long = 30_000
        const val MAX_DOUBLINGS: Int = 8
        const val SLOW_START_MILLIS: Double = 4_000.0
        const val MIN_SLOT_SHARE: Double = 0.05
        const val RECOVERY_MILLIS: Long = 20_000
    }
}
