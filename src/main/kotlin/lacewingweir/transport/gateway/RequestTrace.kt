package lacewingweir.transport.gateway

import lacewingweir.state.id.CustomerId
import lacewingweir.state.id.RequestId
import lacewingweir.state.id.RouteId
import lacewingweir.state.time.MonotonicClock

/** Collects the steps and the outcome of a request for its [RequestRecord]. */
internal class RequestTrace(
    val requestId: RequestId,
    private val clock: MonotonicClock,
    private val runTracker: RunStateTracker,
    private val maxSteps: Int,
) {
    private val startedAtMillis = System.currentTimeMillis()
    private val startMonotonicMillis = clock.nowMillis()
    private val steps = ArrayList<RequestRecord.Step>()
    private var droppedSteps = 0

    @Volatile
    var customer: CustomerId? = null

    @Volatile
    var route: RouteId? = null

    @Volatile
    var outcome: String? = null

    val elapsedMillis: Long
        get() = clock.nowMillis() - startMonotonicMillis

    /** Adds a step. Steps beyond the maximum are only counted, and long reasons are truncated. */
    fun step(
        what: String,
        reason: String,
    ) {
        val step = RequestRecord.Step(elapsedMillis, what, reason.take(MAX_REASON_CHARS))
        synchronized(steps) { if (steps.size < maxSteps) steps.add(step) else droppedSteps++ }
    }

    fun record(): RequestRecord =
        synchronized(steps) {
            RequestRecord(
                requestId,
                startedAtMillis,
                customer,
                route,
                steps.toList(),
                droppedSteps,
                outcome,
                runTracker.state.headerValue,
            )
        }

    private companion object {
        const val MAX_REASON_CHARS: Int = 300
    }
}
