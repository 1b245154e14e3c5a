package lacewingweir.coordination.placement

import lacewingweir.state.fleet.EndpointEntry
import lacewingweir.state.id.WeightsNumber
import java.util.concurrent.atomic.AtomicInteger

/** How a send ended, as far as it says something of the endpoint. */
internal enum class ReservationOutcome {
    SERVED,
    FAILED,

    /** No connection could be made. */
    UNREACHABLE,

    /** The endpoint is full, is loading weights or has others than were believed. It works all the same. */
    REJECTED,

    /** Says nothing of the endpoint's health, for example because the caller left. */
    NOT_COUNTED,
}

/** Chain hashes and sizes of the prompt parts that an engine will have read. */
internal class PrefilledParts(
    val chain: LongArray,
    val sizes: IntArray,
)

/** One request's place at an endpoint. [end] must be called exactly once; further calls do nothing. */
internal class EndpointReservation(
    private val tracker: EndpointTracker,
    choice: EndpointChoice,
    observesSpeed: Boolean,
    internal val placedAtMillis: Long,
) {
    internal val state = choice.state
    internal val uncachedTokens = choice.uncachedTokens
    internal val memoryTokens = choice.memoryTokens
    internal val read = choice.read
    internal val cacheIsolation = choice.cacheIsolation
    internal val speed = choice.speed.takeIf { observesSpeed }
    val expectedMillis: Double = choice.expectedMillis

    /** An engine from which the chosen one should copy what it lacks of the prompt. */
    val cacheSource: EndpointEntry? = choice.cacheSource
    private val phase = AtomicInteger(WAITING)
    val endpoint: EndpointEntry = state.entry
    val weights: WeightsNumber? = state.weights()

    /** Separates the cached parts that this request may use and make. */
    val salt: String = cacheSalt(weights, cacheIsolation)

    /** The first part of the answer arrived: the prompt has been read. */
    fun onFirstEvent() {
        if (phase.compareAndSet(WAITING, ANSWERING)) tracker.onFirstEvent(this)
    }

    fun recordWeights(weights: WeightsNumber) = tracker.recordWeights(state, weights)

    fun end(outcome: ReservationOutcome) {
        val before = phase.getAndSet(ENDED)
        if (before != ENDED) tracker.ended(this, beforeFirstEvent = before == WAITING, outcome)
    }

    private companion object {
        const val WAITING: Int = 0
        const val ANSWERING: Int = 1
        const val ENDED: Int = 2
    }
}
