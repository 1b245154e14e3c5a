package lacewingweir.coordination.placement

import lacewingweir.state.fleet.EndpointEntry
import lacewingweir.state.id.WeightsNumber
import java.util.concurrent.atomic.AtomicInteger

/** Result of sending a request, as evidence of the health of the endpoint. */
internal enum class ReservationOutcome {
    SERVED,
    FAILED,

    /** The connection could not be established. */
    UNREACHABLE,

    /**
     * The endpoint refused the request because it is full, is loading weights, or runs other weights than expected.
     * It is healthy nevertheless.
     */
    REFUSED,

    /** The request was not sent, for example because it was refused after its placement. */
    NOT_SENT,

    /** Says nothing about the endpoint's health, for example because the caller disconnected. */
    NOT_COUNTED,
}

/** Prefix hashes and token counts of the prompt parts that an engine has processed once it sends its first token. */
internal class PrefilledParts(
    val prefixHashes: LongArray,
    val partTokens: IntArray,
)

/**
 * The load that one request adds to an endpoint, counted until the request ends.
 *
 * [end] must be called once when the request ends; further calls have no effect.
 */
internal class EndpointReservation(
    private val tracker: EndpointTracker,
    choice: EndpointChoice,
    measuresPrefillSpeed: Boolean,
    internal val placedAtMillis: Long,
) {
    internal val state = choice.state
    internal val uncachedTokens = choice.uncachedTokens
    internal val memoryTokens = choice.memoryTokens
    internal val prefilled = choice.prefilled
    internal val cacheIsolation = choice.cacheIsolation
    internal val notPrefillMillis = choice.notPrefillMillis
    internal val callsPerSlot = choice.callsPerSlot
    internal val prefillSpeed = choice.prefillSpeed.takeIf { measuresPrefillSpeed }
    val expectedMillis: Double = choice.expectedMillis

    /** The expected time at an engine of the service's common speed, which the speed of the own one doesn't affect. */
    val referenceMillis: Double = choice.referenceMillis

    /** The engine from which the chosen engine should copy the cached prompt parts that it lacks. */
    val cacheSource: EndpointEntry? = choice.cacheSource
    private val phase = AtomicInteger(WAITING)

    /** The time from the placement to the first event of the answer, or null before it. */
    @Volatile
    var millisToFirstEvent: Long? = null
        private set
    val endpoint: EndpointEntry = state.entry

    /** The time since the placement, in milliseconds. */
    val ageMillis: Long
        get() = tracker.millisSince(placedAtMillis)
    val weights: WeightsNumber? = state.weights()
    internal val model = choice.model

    /** Salt of the prefix hashes. Requests share cached prompt parts only under equal salts. */
    val salt: String = cacheSalt(weights, cacheIsolation)

    /** How long [weights] have been outdated by now, or zero if they are not. */
    val outdatedMillis: Long
        get() = tracker.outdatedMillis(this)

    /**
     * The time in which the request may still begin on [weights], or null if they are not outdated now. It is
     * determined anew each time, because newer weights may be set while the request waits.
     */
    val millisToBegin: Long?
        get() = tracker.millisToBegin(this)

    /**
     * Withdraws the request unless its first event has arrived or it has ended. Returns whether it is withdrawn; an
     * answer must not be passed on then.
     */
    fun withdraw(): Boolean {
        val withdrawn = phase.compareAndSet(WAITING, WITHDRAWN)
        if (withdrawn) tracker.onWithdrawn()
        return withdrawn
    }

    /**
     * Records that the first event of the answer arrived, so the prefill of the prompt is complete. Returns false if
     * this was recorded before, or if the reservation was withdrawn or has ended. The time of an answer that is
     * [complete] by then says nothing about the speed of prefill.
     */
    fun onFirstEvent(complete: Boolean = false): Boolean {
        val first = phase.compareAndSet(WAITING, ANSWERING)
        if (first) {
            millisToFirstEvent = tracker.millisSince(placedAtMillis)
            tracker.onFirstEvent(this, complete)
        }
        return first
    }

    fun recordWeights(weights: WeightsNumber) = tracker.recordWeights(state, weights)

    /** Records the requests per second that the endpoint accepts from all instances, or null if it states no limit. */
    fun recordRequestLimit(perSecond: Double?) = tracker.recordRequestLimit(state, perSecond)

    fun end(outcome: ReservationOutcome) {
        val before = phase.getAndSet(ENDED)
        val inPrefill = before == WAITING || before == WITHDRAWN
        if (before != ENDED) tracker.release(this, inPrefill, outcome)
    }

    /** Whether the request has neither begun nor ended. */
    val isWaiting: Boolean
        get() = phase.get() == WAITING

    val isWithdrawn: Boolean
        get() = phase.get() == WITHDRAWN

    private companion object {
        const val WAITING: Int = 0
        const val ANSWERING: Int = 1
        const val WITHDRAWN: Int = 2
        const val ENDED: Int = 3
    }
}
