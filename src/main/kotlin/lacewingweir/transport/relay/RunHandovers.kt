package lacewingweir.transport.relay

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async
import kotlinx.coroutines.launch
import lacewingweir.coordination.placement.EndpointReservation
import lacewingweir.coordination.placement.EndpointTracker
import lacewingweir.coordination.placement.ReservationOutcome
import lacewingweir.coordination.placement.RunTransfer
import lacewingweir.coordination.placement.RunTransfers
import lacewingweir.state.id.EndpointId
import lacewingweir.state.id.RequestId
import lacewingweir.state.retry.RepeatCause
import lacewingweir.state.time.MonotonicClock
import lacewingweir.transport.traffic.KeyedCounter
import java.util.concurrent.ConcurrentHashMap

private val logger = KotlinLogging.logger {}

/**
 * A run that was stopped, with a copy of its KV cache, the reservation at the engine that continues it, and the grant
 * for the request to that engine.
 *
 * @property source the reservation at the engine that stopped the run, which keeps its KV cache
 * @property stopConfirmed whether the source has said that it stopped the run; otherwise the run may have ended instead
 * @property stoppedAtMillis when the source was told to stop the run, by the monotonic clock
 * @property transfer keeps both engines from being told to load until the run has gone on
 * @property returnRepeat the grant for the request to the source if the other engine refuses the run, or null if the
 *   budget had no room for it
 */
internal class HandedOverRun(
    val source: EndpointReservation,
    val reservation: EndpointReservation,
    val copy: KvCacheCopy,
    val repeat: RepeatGrant?,
    val stopConfirmed: Boolean,
    val stoppedAtMillis: Long,
    val transfer: RunTransfer,
    val returnRepeat: RepeatGrant?,
) {
    /** Records that the run has gone on or is given up. */
    fun settle() {
        transfer.end()
        returnRepeat?.release()
    }

    /** Returns the run as it goes back to its own engine, with the [reservation] there. */
    fun returning(
        reservation: EndpointReservation,
        repeat: RepeatGrant,
    ) = HandedOverRun(
        source,
        reservation,
        copy,
        repeat,
        stopConfirmed,
        stoppedAtMillis,
        transfer,
        returnRepeat = null,
    )

    /** Describes the run in a log line written at [nowMillis]. */
    fun describe(nowMillis: Long): String =
        "from=${source.endpoint.id} to=${reservation.endpoint.id} stoppedMs=${nowMillis - stoppedAtMillis} " +
            "confirmed=$stopConfirmed"
}

/** The stream of a run. At most one handover of the run is begun. */
internal class RunningStream(
    val id: RequestId,
    val reservation: EndpointReservation,
) {
    private var ended = false
    private var stopping = false

    @Volatile
    var handover: Deferred<HandedOverRun?>? = null

    /** The grant for the request to the other engine, once the handover has begun. */
    @Volatile
    var repeat: RepeatGrant? = null

    /** Marks the run as stopped by its handover. Returns false if its stream has ended already. */
    @Synchronized
    fun beginStop(): Boolean {
        if (!ended) stopping = true
        return stopping
    }

    /** Marks the stream as ended. Returns whether its handover has stopped the run or is about to. */
    @Synchronized
    fun end(): Boolean {
        ended = true
        return stopping
    }
}

/**
 * Hands runs over to other engines when their engine is about to load weights or to shut down.
 *
 * The KV cache is copied while the run continues. Then the run is stopped, the rest is copied, and the other engine
 * continues the stream after the last event that the caller has received.
 *
 * A run that is stopped is lost unless the other engine or its own one takes it. So it is stopped only if the other
 * engine says just before that it [takesRun], and if the instance goes on for long enough. A run that could also stay
 * is stopped only if the repeat budget allows its return, too. From the beginning of a handover until the run has gone
 * on, neither engine is told to load, as far as [transfers] can tell the instance that would do so.
 */
internal class RunHandovers(
    private val tracker: EndpointTracker,
    private val copier: KvCacheCopier,
    private val repeatBudgets: RepeatBudgets,
    private val scope: CoroutineScope,
    private val clock: MonotonicClock,
    private val transfers: RunTransfers,
    private val stop: InstanceStop = InstanceStop(clock),
    private val takesRun: suspend (target: EndpointReservation) -> Boolean,
) {
    private val streams = ConcurrentHashMap<EndpointId, MutableSet<RunningStream>>()
    private val steps = KeyedCounter<HandoverStep>()

    /** The number of handovers that have reached each step. */
    val figures: Map<HandoverStep, Long>
        get() = steps.totals

    init {
        // The tracker calls this under its lock. A handover acquires the lock of this object before that of the
        // tracker, so beginning one here could deadlock.
        tracker.observeDraining { engineId -> scope.launch { streams[engineId]?.forEach(::begin) } }
    }

    /** Registers a stream whose first event has arrived. Returns null if the answer is too short for a handover. */
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

    /**
     * Marks the stream as ended. Returns the run as it was handed over if its handover stopped it, or null. A stream
     * that is [complete] has only been stopped if its engine says so.
     */
    suspend fun continuation(
        stream: RunningStream?,
        complete: Boolean,
    ): HandedOverRun? =
        if (stream != null && stream.end()) {
            stream.handover?.await()?.takeIf { it.stopConfirmed || !complete }
        } else {
            null
        }

    /**
     * Lets a run that the other engine hasn't taken go on at the engine that stopped it. Returns null if it can't.
     */
    fun goBack(run: HandedOverRun): HandedOverRun? {
        val source = run.source.endpoint
        val blocked = reasonAgainstReturn(run)
        val reservation = if (blocked == null) tracker.placeOnSameEngine(run.source) else null
        val repeat =
            reservation?.let {
                run.returnRepeat ?: repeatBudgets.tryRepeat(source.service, RepeatCause.HANDOVER)
            }
        if (reservation != null && repeat != null) return run.returning(reservation, repeat)
        reservation?.end(ReservationOutcome.NOT_SENT)
        logger.info {
            "handover: lost ${run.describe(clock.nowMillis())} " +
                "drainingMs=${tracker.drainingMillis(source.id)}: " +
                (blocked ?: if (reservation == null) "other weights" else "repeat budget exhausted")
        }
        return null
    }

    /** Returns why a run that was stopped should not be sent to its own engine, or null if it may be. */
    private fun reasonAgainstReturn(run: HandedOverRun): String? {
        val source = run.source.endpoint.id
        return when {
            run.reservation.endpoint.id == source -> "refused by its own engine"
            tracker.isLeaving(source) && tracker.drainingMillis(source) > MAX_LEAVING_MILLIS ->
                "its own engine leaves too soon"
            else -> null
        }
    }

    /** Records the outcome of sending [run], which was stopped, to where it goes on, and whether it [hasGoneOn]. */
    fun recordContinuation(
        run: HandedOverRun,
        outcome: SendOutcome,
        hasGoneOn: Boolean,
    ) = steps.increment(
        when {
            outcome is SendOutcome.NotRun -> HandoverStep.LOST
            !hasGoneOn && outcome is SendOutcome.Broken ->
                if (outcome.outOfTime) HandoverStep.EXPIRED else HandoverStep.BROKEN
            run.reservation.endpoint.id == run.source.endpoint.id -> HandoverStep.RETURNED
            else -> HandoverStep.TAKEN
        },
    )

    /** Removes a stream. Undoes its handover unless [takenOver] is set, which means that the run is continued. */
    fun untrack(
        stream: RunningStream,
        takenOver: Boolean,
    ) {
        streams[stream.reservation.endpoint.id]?.remove(stream)
        stream.end()
        val handover = stream.handover
        if (takenOver || handover == null) return
        stream.repeat?.release()
        scope.launch {
            handover.await()?.let { run ->
                run.reservation.end(ReservationOutcome.NOT_SENT)
                run.settle()
                copier.release(run.copy)
            }
        }
    }

    @Synchronized
    private fun begin(stream: RunningStream) {
        if (stream.handover != null) return
        val source = stream.reservation.endpoint
        if (!hasTime()) {
            logger.info { "handover: id=${stream.id} stays at ${source.id}: the instance ends" }
            return
        }
        val target = tracker.placeForHandover(stream.reservation, emptySet())
        if (target == null) {
            logger.info { "handover: id=${stream.id} stays at ${source.id}: no other engine" }
            return
        }
        // The platform counts the request to the other engine as a repeated request.
        stream.repeat = repeatBudgets.tryRepeat(source.service, RepeatCause.HANDOVER)
        if (stream.repeat != null) {
            steps.increment(HandoverStep.BEGUN)
            val transfer = transfers.begin(source.tag, target.endpoint.tag)
            stream.handover =
                scope.async { handOver(stream, target, transfer).also { if (it == null) stream.repeat?.release() } }
        } else {
            logger.info { "handover: id=${stream.id} stays at ${source.id}: repeat budget exhausted" }
            target.end(ReservationOutcome.NOT_SENT)
        }
    }

    private suspend fun handOver(
        stream: RunningStream,
        target: EndpointReservation,
        transfer: RunTransfer,
        excluded: Set<EndpointId> = emptySet(),
    ): HandedOverRun? {
        val source = stream.reservation.endpoint
        val result = copyWhileRunning(stream, target, transfer)
        val isAccepted = result is CopyResult.Copied && takesRun(target)
        // A load of the target that this instance doesn't know of yet is commanded only after its transfers are known.
        transfer.renew()
        val isExpected = tracker.mayContinueAt(target)
        val isReady = isAccepted && isExpected && hasTime()
        val permission = if (isReady) beginStop(stream) else null
        if (result is CopyResult.Copied && permission != null) {
            return stopRun(stream, target, result.copy, transfer, permission.returnRepeat)
        }
        transfer.end()
        logger.info {
            "handover: id=${stream.id} stays at ${source.id} target=${target.endpoint.id} accepted=$isAccepted " +
                "expected=$isExpected ready=$isReady answer=$result"
        }
        target.end(ReservationOutcome.NOT_SENT)
        if (result is CopyResult.Copied) copier.release(result.copy)
        val next = if (excluded.isEmpty()) nextTarget(stream, target, result, isAccepted && isExpected) else null
        if (next == null) steps.increment(HandoverStep.STAYED)
        return next?.let {
            handOver(stream, it, transfers.begin(source.tag, it.endpoint.tag), excluded = setOf(target.endpoint.id))
        }
    }

    private class StopPermission(
        val returnRepeat: RepeatGrant?,
    )

    /** Returns null if the run must not be stopped, or if its stream has ended. */
    private fun beginStop(stream: RunningStream): StopPermission? {
        val source = stream.reservation.endpoint
        val returnRepeat = repeatBudgets.tryRepeat(source.service, RepeatCause.HANDOVER)
        // A run can stay at an engine that loads, but is cut off by one that leaves.
        val mayStop = returnRepeat != null || tracker.isLeaving(source.id)
        if (mayStop && stream.beginStop()) return StopPermission(returnRepeat)
        returnRepeat?.release()
        return null
    }

    /** Returns another engine for a run if it was [target] that could not take it. */
    private fun nextTarget(
        stream: RunningStream,
        target: EndpointReservation,
        result: CopyResult,
        targetTakesRun: Boolean,
    ): EndpointReservation? {
        // The target may be full, may load weights or leave, or may have failed without being detected yet.
        val refused = result is CopyResult.Refused || (result is CopyResult.Copied && !targetTakesRun)
        if (!refused || !hasTime()) return null
        return tracker.placeForHandover(stream.reservation, setOf(target.endpoint.id))
    }

    /** Returns whether a handover that is begun or completed now has ended before the instance does. */
    private fun hasTime() = stop.remainingMillis(Long.MAX_VALUE) > MIN_REMAINING_MILLIS

    /**
     * Copies the KV cache, and then repeatedly the part added since, until a copy takes at most [SHORT_COPY_MILLIS].
     *
     * The last copy is made while the run is stopped, and should cause no noticeable pause for the caller. The first
     * copies may take longer, because copies of other runs that are handed over at the same time are queued first.
     */
    private suspend fun copyWhileRunning(
        stream: RunningStream,
        target: EndpointReservation,
        transfer: RunTransfer,
    ): CopyResult {
        var result: CopyResult
        var rounds = 0
        do {
            transfer.renew()
            val startMillis = clock.nowMillis()
            result = copier.copy(stream.id, stream.reservation.endpoint, target.endpoint, stop = false)
            val copyMillis = clock.nowMillis() - startMillis
            rounds++
        } while (result is CopyResult.Copied && copyMillis > SHORT_COPY_MILLIS && rounds < MAX_COPY_ROUNDS)
        return result
    }

    private suspend fun stopRun(
        stream: RunningStream,
        target: EndpointReservation,
        lastCopy: KvCacheCopy,
        transfer: RunTransfer,
        returnRepeat: RepeatGrant?,
    ): HandedOverRun? {
        val reservation = stream.reservation
        val source = reservation.endpoint
        val beganAtMillis = clock.nowMillis()
        steps.increment(HandoverStep.STOPPED)
        val result = copier.copy(stream.id, source, target.endpoint, stop = true)

        fun continuedFrom(
            copy: KvCacheCopy,
            at: EndpointReservation,
            stopConfirmed: Boolean = true,
        ) = HandedOverRun(reservation, at, copy, stream.repeat, stopConfirmed, beganAtMillis, transfer, returnRepeat)
        logger.info {
            "handover: id=${stream.id} from=${source.id} to=${target.endpoint.id} " +
                "copyMs=${clock.nowMillis() - beganAtMillis} " +
                "drainingMs=${tracker.drainingMillis(source.id)} answer=$result"
        }
        val run =
            when (result) {
                is CopyResult.Copied -> continuedFrom(result.copy, target)
                // The run may have been stopped, so the other engine continues it from the copy that was made before.
                is CopyResult.Unknown -> continuedFrom(lastCopy, target, stopConfirmed = false)
                is CopyResult.RunNotFound -> null.also { target.end(ReservationOutcome.NOT_SENT) }
                is CopyResult.Refused -> {
                    target.end(ReservationOutcome.NOT_SENT)
                    val ownEngine = result.remainingCopy?.let { tracker.placeOnSameEngine(reservation) }
                    if (ownEngine == null) steps.increment(HandoverStep.LOST)
                    ownEngine?.let { continuedFrom(checkNotNull(result.remainingCopy), it) }
                }
            }
        if (run == null) {
            transfer.end()
            returnRepeat?.release()
        }
        return run
    }

    private companion object {
        /** A third of the longest pause between events that callers of the existing routes accept. */
        const val SHORT_COPY_MILLIS: Long = 100
        const val MAX_COPY_ROUNDS: Int = 6

        /** Time in which a copy that hangs is given up and another engine continues the run. */
        const val MIN_REMAINING_MILLIS: Long = 3_000

        /** Engines that leave accept requests for two seconds. */
        const val MAX_LEAVING_MILLIS: Long = 1_500
    }
}
