/**
 * Hands running answers over to other engines when theirs is about to load weights or to leave.
 *
 * The memory is copied while the run continues; then the run is stopped, the rest is copied, and the stream goes on at
 * the other engine behind the last event that the caller has.
 */
package lacewingweir.transport.relay

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async
import kotlinx.coroutines.launch
import lacewingweir.coordination.placement.EndpointReservation
import lacewingweir.coordination.placement.EndpointTracker
import lacewingweir.coordination.placement.ReservationOutcome
import lacewingweir.state.id.EndpointId
import lacewingweir.state.id.RequestId
import lacewingweir.state.time.MonotonicClock
import java.util.concurrent.ConcurrentHashMap

private val logger = KotlinLogging.logger {}

/** A run that was stopped, and where it goes on. */
internal class MovedRun(
    val reservation: EndpointReservation,
    val copy: KvCacheCopy,
)

/** An answer that an engine is streaming. Its handover begins once at most. */
internal class RunningStream(
    val id: RequestId,
    val reservation: EndpointReservation,
) {
    private var ended = false
    private var stopping = false

    @Volatile
    var handover: Deferred<MovedRun?>? = null

    /** Marks the run as stopped by the handover; false if it has ended before. */
    @Synchronized
    fun beginStop(): Boolean {
        if (!ended) stopping = true
        return stopping
    }

    /** Marks the stream as ended. Returns whether the handover has stopped the run, or is about to. */
    @Synchronized
    fun end(): Boolean {
        ended = true
        return stopping
    }
}

internal class RunHandovers(
    private val tracker: EndpointTracker,
    private val transfer: KvCacheTransfer,
    private val repeats: RepeatBudgets,
    private val scope: CoroutineScope,
    private val clock: MonotonicClock,
) {
    private val streams = ConcurrentHashMap<EndpointId, MutableSet<RunningStream>>()

    init {
        // The board tells of it under its own lock, which a handover needs again after this object's lock.
        tracker.observeDraining { engine -> scope.launch { streams[engine]?.forEach(::begin) } }
    }

    /** Follows an answer whose first event has arrived; null if it is too short to be worth a move. */
    fun track(
        call: InboundCall,
        reservation: EndpointReservation,
    ): RunningStream? {
        if (call.prompt?.longAnswer != true) return null
        val stream = RunningStream(call.id, reservation)
        streams.computeIfAbsent(reservation.endpoint.id) { ConcurrentHashMap.newKeySet() } += stream
        if (tracker.isDraining(reservation.endpoint.id)) begin(stream)
        return stream
    }

    /** The run's continuation, if its stream ended because it was moved. */
    suspend fun continuation(stream: RunningStream?): MovedRun? =
        if (stream != null && stream.end()) stream.handover?.await() else null

    /** Forgets an answer. A handover that nobody took over is undone. */
    fun untrack(
        stream: RunningStream,
        takenOver: Boolean,
    ) {
        streams[stream.reservation.endpoint.id]?.remove(stream)
        stream.end()
        val handover = stream.handover
        if (takenOver || handover == null) return
        scope.launch {
            handover.await()?.let { moved ->
                moved.reservation.end(ReservationOutcome.NOT_COUNTED)
                transfer.release(moved.copy)
            }
        }
    }

    @Synchronized
    private fun begin(stream: RunningStream) {
        if (stream.handover != null) return
        val source = stream.reservation.endpoint
        val target = tracker.placeForHandover(stream.reservation, emptySet())
        if (target == null) {
            logger.info { "handover: id=${stream.id} stays at ${source.id}: no other engine" }
            return
        }
        // The platform counts the arrival at the other engine like that of a repeated request.
        if (repeats.tryRepeat(source.service)) {
            stream.handover = scope.async { handOver(stream, target) }
        } else {
            logger.info { "handover: id=${stream.id} stays at ${source.id}: no repeat left" }
            target.end(ReservationOutcome.NOT_COUNTED)
        }
    }

    private suspend fun handOver(
        stream: RunningStream,
        target: EndpointReservation,
        refusedBy: Set<EndpointId> = emptySet(),
    ): MovedRun? {
        val source = stream.reservation.endpoint
        val answer = copyWhileRunning(stream, target)
        val stays = tracker.isDraining(target.endpoint.id)
        if (answer is TransferResult.Copied && !stays && stream.beginStop()) return stop(stream, target, answer.copy)
        logger.info {
            "handover: id=${stream.id} stays at ${source.id} target=${target.endpoint.id} " +
                "targetVacating=$stays answer=$answer"
        }
        target.end(ReservationOutcome.NOT_COUNTED)
        if (answer is TransferResult.Copied) transfer.release(answer.copy)
        if (answer !is TransferResult.Refused || refusedBy.isNotEmpty()) return null
        // The target may be full, or dark without anybody having noticed.
        val refused = setOf(target.endpoint.id)
        return tracker.placeForHandover(stream.reservation, refused)?.let { handOver(stream, it, refused) }
    }

    /**
     * Copies until a copy of what is new takes no longer than a pause that the caller doesn't notice. Copies of other
     * answers that move at the same time are queued before it at first.
     */
    private suspend fun copyWhileRunning(
        stream: RunningStream,
        target: EndpointReservation,
    ): TransferResult {
        var answer: TransferResult
        var rounds = 0
        do {
            val begun = clock.nowMillis()
            answer = transfer.copy(stream.id, stream.reservation.endpoint, target.endpoint, stop = false)
            val millis = clock.nowMillis() - begun
            rounds++
        } while (answer is TransferResult.Copied && millis > SHORT_COPY_MILLIS && rounds < MAX_COPY_ROUNDS)
        return answer
    }

    private suspend fun stop(
        stream: RunningStream,
        target: EndpointReservation,
        copied: KvCacheCopy,
    ): MovedRun? {
        val source = stream.reservation.endpoint
        val answer = transfer.copy(stream.id, source, target.endpoint, stop = true)
        logger.info { "handover: id=${stream.id} from=${source.id} to=${target.endpoint.id} answer=$answer" }
        return when (answer) {
            is TransferResult.Copied -> MovedRun(target, answer.copy)
            // If the run was stopped all the same, the first copy is what there is.
            is TransferResult.Unknown -> MovedRun(target, copied)
            is TransferResult.NoRun -> null.also { target.end(ReservationOutcome.NOT_COUNTED) }
            is TransferResult.Refused -> {
                target.end(ReservationOutcome.NOT_COUNTED)
                answer.remainingCopy?.let { MovedRun(tracker.placeOnSameEngine(stream.reservation), it) }
            }
        }
    }

    private companion object {
        /** A third of the pause between events that callers of today's routes accept. */
        const val SHORT_COPY_MILLIS: Long = 100
        const val MAX_COPY_ROUNDS: Int = 6
    }
}
