package lacewingweir.transport.gateway

import lacewingweir.state.id.CustomerId
import lacewingweir.state.id.RequestId
import lacewingweir.state.id.RouteId
import lacewingweir.state.time.MonotonicClock

/** Collects the record of a running request. */
internal class RequestTrace(
    val requestId: RequestId,
    private val clock: MonotonicClock,
    private val run: RunTracker,
    private val maxSteps: Int,
) {
    private val startedAtMillis = System.currentTimeMillis()
    private val startMillis = clock.nowMillis()
    private val steps = ArrayList<RequestRecord.Step>()
    private var droppedSteps = 0

    @Volatile
    var customer: CustomerId? = null

    @Volatile
    var route: RouteId? = null

    @Volatile
    var outcome: String? = null

    val elapsedMillis: Long
        get() = clock.nowMillis() - startMillis

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
                run.state.header,
            )
        }

    private companion object {
        const val MAX_REASON_CHARS: Int = 300
    }
}
