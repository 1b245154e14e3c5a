package lacewingweir.coordination.routing

import lacewingweir.state.bundle.TrafficClass

/** Limits by traffic class for the backlog of an engine and for the wait for the first token. */
internal object EngineWaitLimits {
    /**
     * Backlog at which an engine gets no further request of a class, so that requests wait in this instance's fair
     * queue and not in the engine's own queue.
     */
    private const val MAX_INTERACTIVE_BACKLOG_MILLIS: Double = 250.0
    private const val MAX_BATCH_BACKLOG_MILLIS: Double = 60.0

    /**
     * Lower bound of the first-token timeout. On a healthy engine a request can queue for a few hundred milliseconds
     * behind requests of other instances that have not yet been reported to this instance. Batch requests wait longer,
     * because interactive requests are served first.
     */
    private const val MIN_INTERACTIVE_TIMEOUT_MILLIS: Long = 2_000
    private const val MIN_BATCH_TIMEOUT_MILLIS: Long = 10_000
    private const val FIRST_TOKEN_TIMEOUT_FACTOR: Double = 4.0

    /** Returns the timeout for a first token that is expected after [expectedMillis]. */
    fun firstTokenTimeoutMillis(
        trafficClass: TrafficClass,
        expectedMillis: Double,
    ): Long {
        val minTimeoutMillis =
            if (trafficClass == TrafficClass.INTERACTIVE) MIN_INTERACTIVE_TIMEOUT_MILLIS else MIN_BATCH_TIMEOUT_MILLIS
        return maxOf(minTimeoutMillis, (expectedMillis * FIRST_TOKEN_TIMEOUT_FACTOR).toLong())
    }

    /** Returns the backlog below which an engine may get a request of [trafficClass]. */
    fun maxBacklogMillis(trafficClass: TrafficClass): Double =
        if (trafficClass == TrafficClass.INTERACTIVE) MAX_INTERACTIVE_BACKLOG_MILLIS else MAX_BATCH_BACKLOG_MILLIS
}
