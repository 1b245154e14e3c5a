package lacewingweir.coordination.routing

import lacewingweir.state.bundle.TrafficClass

/** How long requests may wait for and on an engine, by traffic class. */
internal object EngineWaits {
    /**
     * Backlog above which an engine takes no further request of a class, so that requests wait in fair order here.
     */
    private const val MAX_INTERACTIVE_WAIT_MILLIS: Double = 250.0
    private const val MAX_BATCH_WAIT_MILLIS: Double = 60.0

    /**
     * Least time that an engine gets for the first token. Requests of other instances, which this one sees late,
     * wait for some hundred milliseconds on a sound engine, and batch requests behind interactive ones for longer.
     */
    private const val MIN_INTERACTIVE_LIMIT_MILLIS: Long = 2_000
    private const val MIN_BATCH_LIMIT_MILLIS: Long = 10_000
    private const val FIRST_TOKEN_LIMIT_FACTOR: Double = 4.0

    /** Longest wait for the first token of a request that is expected to take [expectedMillis]. */
    fun firstTokenTimeoutMillis(
        trafficClass: TrafficClass,
        expectedMillis: Double,
    ): Long {
        val least =
            if (trafficClass == TrafficClass.INTERACTIVE) MIN_INTERACTIVE_LIMIT_MILLIS else MIN_BATCH_LIMIT_MILLIS
        return maxOf(least, (expectedMillis * FIRST_TOKEN_LIMIT_FACTOR).toLong())
    }

    /** Longest backlog of an engine that may still take a request of [trafficClass]. */
    fun maxBacklogMillis(trafficClass: TrafficClass): Double =
        if (trafficClass == TrafficClass.INTERACTIVE) MAX_INTERACTIVE_WAIT_MILLIS else MAX_BATCH_WAIT_MILLIS
}
