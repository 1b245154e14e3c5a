package lacewingweir.transport.relay

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.job
import lacewingweir.coordination.crash.BrokenCall
import lacewingweir.coordination.crash.BrokenCallProgress
import lacewingweir.coordination.crash.CrashQuarantine
import lacewingweir.coordination.crash.Standing
import lacewingweir.coordination.fleet.FleetDirectory
import lacewingweir.coordination.fleet.StoreContactProof
import lacewingweir.coordination.gossip.FleetRateLimiter
import lacewingweir.coordination.placement.EndpointReservation
import lacewingweir.coordination.placement.EndpointTracker
import lacewingweir.coordination.placement.PlacementRequest
import lacewingweir.coordination.placement.ReservationOutcome
import lacewingweir.coordination.reach.ReachMonitor
import lacewingweir.coordination.stream.StreamVersions
import lacewingweir.coordination.versions.VersionAnswer
import lacewingweir.state.contention.engineRank
import lacewingweir.state.fleet.EndpointEntry
import lacewingweir.state.fleet.RequestKind
import lacewingweir.state.fleet.RoutePolicy
import lacewingweir.state.id.EndpointTag
import lacewingweir.state.id.ServiceName
import lacewingweir.state.retry.RepeatCause
import lacewingweir.state.stream.StreamOrigin
import lacewingweir.state.time.MonotonicClock
import lacewingweir.transport.http.PeerClosedException
import lacewingweir.transport.http.ServerExchange
import lacewingweir.transport.http.withLoopTimeoutOrNull
import lacewingweir.transport.traffic.KeyedCounter
import java.util.concurrent.ConcurrentHashMap
import kotlin.random.Random

private val logger = KotlinLogging.logger {}

/**
 * Processes the calls of callers: checks route, key and rate limit, and sends the call to endpoints until one responds.
 *
 * Each send uses the newest configuration known when it starts. A call that can't be sent again ends immediately with
 * an error. If [reach] finds that this instance is cut off from the endpoints of a service, [passer] passes calls on to
 * another instance; without them, no call is passed on. No call goes on beyond the end of [stop]. [awaitDisconnects]
 * returns once the connections of callers that have left by now are known to be closed.
 */
internal class CallRelay(
    private val directory: FleetDirectory,
    private val proof: StoreContactProof,
    rateLimiter: FleetRateLimiter,
    private val repeatBudgets: RepeatBudgets,
    private val tracker: EndpointTracker,
    private val sender: EndpointSender,
    private val handovers: RunHandovers,
    private val quarantine: CrashQuarantine,
    private val streamVersions: StreamVersions,
    private val clock: MonotonicClock,
    private val limits: () -> RelayLimits,
    private val random: Random = Random.Default,
    private val reach: ReachMonitor? = null,
    private val passer: CallPasser? = null,
    private val onAnswer: ((VersionAnswer) -> Unit)? = null,
    private val stop: InstanceStop = InstanceStop(clock),
    private val awaitDisconnects: suspend () -> Unit,
) {
    private val admission = CallAdmission(directory, proof, rateLimiter, quarantine, limits, stop)
    private val unfinished: MutableSet<CallState> = ConcurrentHashMap.newKeySet()
    private val cuts = KeyedCounter<StreamCutCause>()

    /** The number of streams that have ended early, by cause. */
    val streamCuts: Map<StreamCutCause, Long>
        get() = cuts.totals

    /**
     * Serves one call, which another instance passes on if [passOrigin] isn't null. Cancelling the coroutine closes the
     * connection to the endpoint.
     */
    suspend fun handle(
        call: InboundCall,
        exchange: ServerExchange,
        passOrigin: PassOrigin? = null,
    ) {
        val state = CallState(call, exchange, directory, proof, clock, limits, random, passOrigin, stop, cuts)
        unfinished += state
        try {
            serve(state)
        } catch (e: CancellationException) {
            state.log("caller disconnected")
            throw e
        } catch (e: PeerClosedException) {
            state.log("caller disconnected: ${e.message}")
        } finally {
            unfinished -= state
        }
    }

    /** Logs where each call stands that has not ended. */
    fun logUnfinished() = unfinished.forEach { it.log("unfinished at the end of the instance") }

    private suspend fun serve(state: CallState) {
        try {
            val admitted = admission.admit(state) ?: return
            stop.onAdmitted(state.deadlineAtMillis)
            serveAdmitted(state, admitted)
        } finally {
            if (state.onTrial) quarantine.endTrial()
        }
    }

    private suspend fun serveAdmitted(
        state: CallState,
        admitted: Admitted,
    ) {
        val job = currentCoroutineContext().job
        state.exchange.onDisconnect {
            state.callerDisconnected = true
            // The outcome of a non-idempotent call that was sent could not be determined after a cancellation.
            if (admitted.route.kind != RequestKind.NON_IDEMPOTENT) job.cancel()
        }
        awaitDisconnects()
        val service = serviceOf(state, admitted.route)
        if (state.passOrigin == null) repeatBudgets.onRequest(service)
        if (!findOrigin(state, service)) return
        try {
            sendUntilAnswered(state, admitted, service)
        } finally {
            state.nextRepeat?.release()
        }
    }

    /**
     * Finds out where the stream began if the caller takes one up. Refuses the call and returns false if it can't go on
     * on a route to [service].
     */
    private suspend fun findOrigin(
        state: CallState,
        service: ServiceName,
    ): Boolean {
        val call = state.call
        if (call.resumes == null && call.resumeAfter == null) return true
        val origin = streamVersions.originOf(call.resumes, service)
        if (origin?.service == service) {
            state.progress.origin = origin
            return true
        }
        val retryMillis =
            if (origin == null) limits().unknownOriginRetryMillis else limits().cannotContinueRetryMillis
        state.refuse<Unit>(RelayRefusal.CANNOT_CONTINUE, retryMillis)
        return false
    }

    /** Passes the call on to another instance if this one is cut off, and records whether its response was lost. */
    private suspend fun passOn(
        state: CallState,
        admitted: Admitted,
        service: ServiceName,
    ): PassOutcome {
        if (passer?.applies(state, service) != true) return PassOutcome.NotSent("not cut off")
        var outcome: PassOutcome = PassOutcome.Unknown("out of time")
        try {
            withinTime(state.remainingMillis) { passer.pass(state, service, admitted.route.repeatable) }
                ?.let { outcome = it }
        } finally {
            if (outcome !is PassOutcome.NotSent) state.onPassed()
        }
        if (outcome is PassOutcome.Unknown) {
            state.onLost()
            logger.info { "relay: id=${state.call.id} lost through=${state.triedInstances}: ${outcome.reason}" }
        }
        return outcome
    }

    /**
     * Refuses a call that has met an endpoint that can't be reached, if none can be. Returns whether the call is
     * finished. A first send is worthwhile, since connections that are open may live on.
     */
    private suspend fun refuseIfCutOff(
        state: CallState,
        service: ServiceName,
    ): Boolean {
        if (state.sends == 0 || reach?.isCutOff(service) != true || state.progress.started) return false
        state.refuse<Unit>(RelayRefusal.NO_ENDPOINT, limits().noEndpointRetryMillis)
        return true
    }

    private fun serviceOf(
        state: CallState,
        route: RoutePolicy,
    ): ServiceName =
        state.passOrigin?.service?.takeIf { passed -> route.targets.any { it.service == passed } }
            ?: chooseService(route)

    private fun chooseService(route: RoutePolicy): ServiceName {
        var remainingWeight = random.nextInt(route.targets.sumOf { it.weight }.coerceAtLeast(1))
        for (target in route.targets) {
            remainingWeight -= target.weight
            if (remainingWeight < 0) return target.service
        }
        return route.targets.last().service
    }

    private suspend fun sendUntilAnswered(
        state: CallState,
        admitted: Admitted,
        service: ServiceName,
    ) {
        while (maySend(state, admitted, service)) {
            try {
                if (passOrSend(state, admitted, service)) return
            } finally {
                state.endRepeat()
            }
        }
    }

    /** Returns whether the call is finished. */
    private suspend fun passOrSend(
        state: CallState,
        admitted: Admitted,
        service: ServiceName,
    ): Boolean =
        when (passOn(state, admitted, service)) {
            PassOutcome.Answered -> true
            is PassOutcome.Unknown -> false
            is PassOutcome.NotSent -> {
                val reservation = if (refuseIfCutOff(state, service)) null else place(state, admitted, service)
                reservation == null || sendAndContinue(state, admitted, service, reservation)
            }
        }

    /** Sends the call, and again wherever its run is handed over to. Returns whether the call is finished. */
    private suspend fun sendAndContinue(
        state: CallState,
        admitted: Admitted,
        service: ServiceName,
        firstReservation: EndpointReservation,
    ): Boolean {
        state.lostRun = null
        var endpoint = firstReservation.endpoint
        var outcome = sendOnce(state, admitted, service, firstReservation)
        while (outcome is SendOutcome.HandedOver) {
            val stopped = outcome.run
            val lastEvent = state.progress.lastNumber
            state.possibleRuns++
            var run = stopped
            try {
                outcome = continueRun(state, admitted, service, run)
                val back = if (outcome is SendOutcome.NotRun) handovers.goBack(stopped) else null
                if (back != null) {
                    logger.info {
                        "relay: id=${state.call.id} goes back to=${back.source.endpoint.id} " +
                            "${state.sendFacts}: $outcome"
                    }
                    run = back
                    outcome = continueRun(state, admitted, service, run)
                }
            } finally {
                stopped.settle()
            }
            endpoint = run.reservation.endpoint
            handovers.recordContinuation(run, outcome, hasGoneOn = state.progress.lastNumber != lastEvent)
            state.lostRun = run.takeIf { outcome is SendOutcome.NotRun }
        }
        return recordOutcome(state, admitted, outcome, endpoint)
    }

    private suspend fun continueRun(
        state: CallState,
        admitted: Admitted,
        service: ServiceName,
        run: HandedOverRun,
    ): SendOutcome {
        run.transfer.renew()
        state.beginRepeat(run.repeat, RepeatCause.HANDOVER)
        return sendOnce(state, admitted, service, run.reservation, run)
    }

    /** Returns whether the call may be sent. Responds to the caller if not. */
    private suspend fun maySend(
        state: CallState,
        admitted: Admitted,
        service: ServiceName,
    ): Boolean {
        if (state.remainingMillis < MIN_SEND_MILLIS) {
            state.failOnTimeout()
            return false
        }
        if (state.sends > 0 && !mayRepeat(state, admitted, service)) {
            state.fail()
            return false
        }
        return true
    }

    private fun mayRepeat(
        state: CallState,
        admitted: Admitted,
        service: ServiceName,
    ): Boolean {
        val route = admitted.route
        val safeToRepeat =
            !state.mayHaveRun || (route.repeatable && !state.onTrial && state.possibleRuns < route.maxEndpoints)
        // Sends that reached no endpoint caused no load, so the next one is not charged to the repeat budget.
        if (!safeToRepeat || state.sends >= MAX_SENDS) return false
        val cause = state.repeatCause ?: return true
        state.repeat = state.nextRepeat ?: repeatBudgets.tryRepeat(service, cause)
        state.nextRepeat = null
        return state.repeat != null
    }

    /**
     * Reserves an endpoint, polling for up to [RelayLimits.placementWaitMillis] while none is available.
     *
     * Responds to the caller and returns null if no endpoint becomes available, or if [accept] refuses the call.
     *
     * @throws PeerClosedException if the caller has disconnected
     */
    private suspend fun place(
        state: CallState,
        admitted: Admitted,
        service: ServiceName,
    ): EndpointReservation? {
        val waitUntil = clock.nowMillis() + minOf(state.remainingMillis / 3, limits().placementWaitMillis)
        val origin = state.progress.origin
        if (origin != null && !canContinue(origin)) {
            streamVersions.recordRefusal()
            state.refuse<Unit>(RelayRefusal.CANNOT_CONTINUE, limits().cannotContinueRetryMillis)
            return null
        }
        while (true) {
            val request = placementRequest(state, admitted, service)
            if (state.callerDisconnected) throw PeerClosedException("disconnected before the call was sent")
            val reservation =
                tracker.place(request)
                    ?: if (state.triedEndpoints.isEmpty()) null else tracker.place(request.withoutExclusions())
            if (reservation != null) return accept(state, reservation)
            if (endUnplaced(state, request.withoutExclusions(), waitUntil)) return null
            delay(PLACEMENT_POLL_MILLIS)
        }
    }

    /** Responds to the caller and returns true if it is useless to wait longer for an endpoint. */
    private suspend fun endUnplaced(
        state: CallState,
        request: PlacementRequest,
        waitUntilMillis: Long,
    ): Boolean {
        val exhausted = state.receivedBy.isNotEmpty() && !tracker.hasUsable(request)
        // An endpoint that refused the call may have asked for a pause, which its caller should respect.
        val closedMillis =
            tracker.closedMillis(if (exhausted && !state.mayHaveRun) request.withoutReceived() else request)
        when {
            exhausted && closedMillis == null -> state.fail()
            closedMillis != null -> state.refuse<Unit>(RelayRefusal.LIMITED, limitedRetryMillis(closedMillis))
            clock.nowMillis() >= waitUntilMillis -> {
                tracker.onRefused(request)
                state.refuse<Unit>(RelayRefusal.NO_ENDPOINT, limits().noEndpointRetryMillis)
            }
            else -> return false
        }
        return true
    }

    private fun placementRequest(
        state: CallState,
        admitted: Admitted,
        service: ServiceName,
        received: Set<EndpointTag> = state.receivedBy,
    ) = PlacementRequest(
        service = service,
        prompt = state.call.prompt,
        cacheIsolation =
            admitted.customer
                ?.takeIf { it.isolated }
                ?.id
                ?.value,
        excluded = state.triedEndpoints,
        received = received,
        software = state.progress.origin?.software,
        usableMillis = usableMillis(state),
    )

    private fun usableMillis(state: CallState): Double = state.remainingMillis * limits().usableShareOfRemainingTime

    private fun canContinue(origin: StreamOrigin): Boolean =
        origin.software != null && tracker.serves(origin.service, origin.software)

    /** Instances that don't send to limited endpoints can't tell when another instance may. */
    private fun limitedRetryMillis(limitedMillis: Long): Long =
        if (limitedMillis == Long.MAX_VALUE) limits().noShareRetryMillis else limitedMillis

    /**
     * Returns [reservation]. Ends it, responds to the caller and returns null if the call can't be served with it.
     *
     * When prompts arrive faster than the engines can prefill them, waiting calls exceed the deadlines of their
     * callers. Refusing the excess at once lets the admitted calls finish in time, and `Retry-After` tells the refused
     * callers when the backlog will have cleared.
     */
    private suspend fun accept(
        state: CallState,
        reservation: EndpointReservation,
    ): EndpointReservation? {
        val usableMillis = usableMillis(state)
        // While the call waited, the key may have been withdrawn, the contact proof may have become too old, the
        // request may have come under suspicion, or the instance may have begun to stop.
        val refused = admission.recheck(state)
        if (refused == null && reservation.expectedMillis <= usableMillis) return reservation
        reservation.end(ReservationOutcome.NOT_SENT)
        if (refused != null) {
            state.refuse<Unit>(refused.refusal, refused.retryAfterMillis)
        } else if (stop.callsEndAtMillis < state.deadlineAtMillis) {
            state.refuse<Unit>(RelayRefusal.STOPPING, limits().stoppingRetryMillis)
        } else {
            val excessMillis = (reservation.expectedMillis - usableMillis).toLong()
            state.refuse<Unit>(RelayRefusal.OVERLOADED, maxOf(excessMillis, limits().overloadRetryMillis))
        }
        return null
    }

    private suspend fun sendOnce(
        state: CallState,
        admitted: Admitted,
        service: ServiceName,
        reservation: EndpointReservation,
        continued: HandedOverRun? = null,
    ): SendOutcome {
        val timeoutMillis = state.remainingMillis
        state.sends++
        state.connection = null
        state.sentAgain = reservation.endpoint.id in state.triedEndpoints
        state.triedEndpoints += reservation.endpoint.id
        state.lastEndpoint = reservation.endpoint.id
        val outbound = outboundCall(state, admitted, reservation, continued)
        logSend(state, outbound, reservation)
        reach?.onSend(service)
        try {
            val lastEvent = state.progress.lastNumber
            val outcome =
                withinTime(timeoutMillis) { send(state, admitted, outbound, reservation) }
                    ?: SendOutcome.Broken("out of time", outOfTime = true)
            if (outcome is SendOutcome.NotRun && !outcome.refused) onUnreachable(reservation.endpoint)
            if (outcome is SendOutcome.Broken && !outcome.givenUp) state.onRead()
            onAnswer?.let { report ->
                val cutOff = reach?.isCutOff(service) ?: false
                versionAnswer(admitted.route.id, reservation, outcome, cutOff)?.let(report)
            }
            when {
                state.progress.lastNumber != lastEvent -> state.onStreamContinued()
                mayBeAnsweredLate(state, outcome) -> state.onReceived(reservation.endpoint.tag)
            }
            return outcome
        } finally {
            state.onSendEnd()
            // If the caller disconnected or the time ran out, the sender may not have ended the reservation.
            reservation.end(ReservationOutcome.NOT_COUNTED)
            reach?.onSendEnd(service)
        }
    }

    /** Returns the result of [block], or null if it takes longer than [timeoutMillis] or until the instance ends. */
    private suspend fun <T : Any> withinTime(
        timeoutMillis: Long,
        block: suspend () -> T,
    ): T? = stop.beforeEnd { withLoopTimeoutOrNull(timeoutMillis, block) }

    /** Finds out whether other endpoints can be reached before the call is sent to one. */
    private suspend fun onUnreachable(endpoint: EndpointEntry) {
        reach?.onUnreachable(endpoint)
        reach?.awaitProbes(endpoint.service)
    }

    private fun rankOf(
        admitted: Admitted,
        service: ServiceName,
    ) = engineRank(admitted.customer?.priority, admitted.route.priority, tracker.isContended(service))

    private fun outboundCall(
        state: CallState,
        admitted: Admitted,
        reservation: EndpointReservation,
        continued: HandedOverRun?,
    ): OutboundCall {
        val service = reservation.endpoint.service
        val toEngine = state.call.prompt != null
        val remaining = state.remainingMillis
        val mayUseAnother = mayUseAnother(state, admitted, reservation.endpoint)
        // Trying another endpoint costs a second run, so a busy endpoint gets its expected time in addition to a share
        // of the remaining time.
        val timeoutBeforeRepeat = remaining * HEAD_TIMEOUT_SHARE + reservation.expectedMillis
        return OutboundCall(
            call = state.call,
            endpoint = reservation.endpoint,
            remainingMillis = remaining,
            headTimeoutMillis = if (mayUseAnother) minOf(timeoutBeforeRepeat.toLong(), remaining) else remaining,
            mayGiveUp = { !mayUseAnother || reserveRepeat(state, admitted, reservation.endpoint) },
            customer = admitted.customer?.id,
            cacheSalt = if (toEngine) reservation.salt else null,
            weights = if (toEngine) reservation.weights else null,
            priority = if (toEngine) rankOf(admitted, service) else null,
            resumeAfter = state.progress.lastId ?: state.call.resumeAfter,
            cacheSource = reservation.cacheSource,
            cacheCopy = continued?.copy,
            // An extra response may wait on a pooled connection as well.
            freshConnection = state.repeatCause == RepeatCause.BROKEN,
            onSend = { connection ->
                if (connection.requests == 0) reach?.onConnected(reservation.endpoint)
                state.onSend(connection)
            },
            onResponse = state::onRead,
            onSkipped = { state.skipped++ },
            onFirstEvent = { continued?.settle() },
        )
    }

    private fun logSend(
        state: CallState,
        outbound: OutboundCall,
        reservation: EndpointReservation,
    ) = logger.info {
        "relay: id=${state.call.id} sent to=${reservation.endpoint.id} try=${state.sends} " +
            "again=${state.sentAgain} leftMs=${outbound.remainingMillis} " +
            "expectedMs=${reservation.expectedMillis.toLong()} missed=${reservation.uncachedTokens.toLong()} " +
            "weights=${reservation.weights} outdatedMs=${reservation.outdatedMillis} repeat=${state.repeatCause} " +
            "fetch=${reservation.cacheSource?.id} continues=${outbound.cacheCopy?.handle} " +
            "software=${reservation.endpoint.software} after=${outbound.resumeAfter} resumes=${state.call.resumes}"
    }

    /** Sends a repeatable call so that it doesn't wait on a connection that hangs, if another instance can serve it. */
    private suspend fun send(
        state: CallState,
        admitted: Admitted,
        outbound: OutboundCall,
        reservation: EndpointReservation,
    ): SendOutcome {
        suspend fun send() = sender.send(outbound, reservation, state.exchange, state.progress)
        if (passer == null || reach == null || !admitted.route.repeatable) return send()
        val service = reservation.endpoint.service
        val mayLeave = { !state.exchange.responseStarted && passer.applies(state, service) }
        val outcome = leaveIfCutOff(reach, service, mayLeave, ::send)
        val unsent = outcome is SendOutcome.Broken && state.connection == null
        return if (unsent) SendOutcome.NotRun("left while connecting", refused = false) else outcome
    }

    /** Returns whether the call may be sent elsewhere if [endpoint] doesn't respond, as far as can be told now. */
    private fun mayUseAnother(
        state: CallState,
        admitted: Admitted,
        endpoint: EndpointEntry,
    ): Boolean =
        admitted.route.repeatable &&
            state.possibleRuns + 1 < admitted.route.maxEndpoints &&
            repeatBudgets.canRepeat(endpoint.service) &&
            hasAnother(state, admitted, endpoint)

    /**
     * Reserves a repeat for a call whose endpoint has been silent for long. Returns false if the call can't be sent
     * elsewhere, in which case only this endpoint may still answer.
     */
    private fun reserveRepeat(
        state: CallState,
        admitted: Admitted,
        endpoint: EndpointEntry,
    ): Boolean {
        if (state.onTrial || state.sends >= MAX_SENDS || !hasAnother(state, admitted, endpoint)) return false
        state.nextRepeat = repeatBudgets.tryRepeat(endpoint.service, RepeatCause.BROKEN)
        return state.nextRepeat != null
    }

    /** Returns whether a response to this send might still come, and pass for the answer to another one. */
    private fun mayBeAnsweredLate(
        state: CallState,
        outcome: SendOutcome,
    ): Boolean =
        // Without the endpoint that refused it, a stream that has begun would often be cut.
        outcome !is SendOutcome.NotRun || (outcome.refused && !state.progress.started)

    private fun hasAnother(
        state: CallState,
        admitted: Admitted,
        endpoint: EndpointEntry,
    ): Boolean {
        val request = placementRequest(state, admitted, endpoint.service, received = state.receivedBy + endpoint.tag)
        return tracker.hasUsable(request.withoutExclusions())
    }

    /** Records the outcome of a send and returns whether the call is finished. */
    private suspend fun recordOutcome(
        state: CallState,
        admitted: Admitted,
        outcome: SendOutcome,
        endpoint: EndpointEntry,
    ): Boolean {
        when (outcome) {
            is SendOutcome.Delivered -> {
                quarantine.recordAnswer(state.suspects)
                stop.onAnswered(admitted.route.id, clock.nowMillis() - state.call.arrivedAtMillis)
                state.log("answered status=${outcome.status}")
                return true
            }
            is SendOutcome.NotRun -> {
                if (outcome.refused) state.repeatCause = RepeatCause.REFUSED
                logger.info {
                    "relay: id=${state.call.id} not run ${state.sendFacts}: ${outcome.reason}"
                }
            }
            // The loop in sendUntilAnswered continues the run instead.
            is SendOutcome.HandedOver -> Unit
            is SendOutcome.ErrorResponse -> {
                state.repeatCause = RepeatCause.ERROR
                state.possibleRuns++
                state.errorResponse = outcome
                logger.info {
                    "relay: id=${state.call.id} failed status=${outcome.head.status} ${state.sendFacts}"
                }
            }
            SendOutcome.Withdrawn -> {
                state.repeatCause = RepeatCause.WITHDRAWN
                state.possibleRuns++
            }
            is SendOutcome.Broken -> {
                state.repeatCause = RepeatCause.BROKEN
                state.possibleRuns++
                logger.info {
                    "relay: id=${state.call.id} broken ${state.sendFacts}: ${outcome.reason} " +
                        "received=${outcome.received} suspects=${state.suspects.all}"
                }
                if (outcome.outOfTime) {
                    state.failOnTimeout()
                    return true
                }
                if (mayCrashAnother(state, admitted, outcome, endpoint)) {
                    state.fail()
                    return true
                }
            }
        }
        return false
    }

    /**
     * Checks whether the call has ended its endpoint, which goes on if the caller disconnects. Returns whether it could
     * be sent again, but may end another endpoint.
     */
    private suspend fun mayCrashAnother(
        state: CallState,
        admitted: Admitted,
        outcome: SendOutcome.Broken,
        endpoint: EndpointEntry,
    ): Boolean {
        if (outcome.received == ReceivedPart.EVENTS || outcome.givenUp) return false
        val progress = progressOf(state.call, outcome)
        val suspectedBefore = quarantine.isSuspect(state.suspects.request)
        val ended = quarantine.checkForCrash(endpoint, BrokenCall(state.suspects, progress, state.onTrial))
        val repeatable = admitted.route.repeatable && state.possibleRuns < admitted.route.maxEndpoints
        if (!repeatable || state.onTrial) return false
        return when (progress) {
            BrokenCallProgress.ANSWER_BEGUN -> ended.await()
            BrokenCallProgress.MAY_HAVE_WAITED -> !quarantine.mayRepeat(state.suspects)
            BrokenCallProgress.MAY_HAVE_RUN ->
                suspectedBefore && ended.await() && quarantine.standing { state.suspects } != Standing.Clear
        }
    }

    private fun progressOf(
        call: InboundCall,
        outcome: SendOutcome.Broken,
    ): BrokenCallProgress =
        when {
            call.prompt == null -> BrokenCallProgress.MAY_HAVE_RUN
            outcome.received == ReceivedPart.HEAD -> BrokenCallProgress.ANSWER_BEGUN
            else -> BrokenCallProgress.MAY_HAVE_WAITED
        }

    private companion object {
        /** No endpoint can respond in less time. */
        const val MIN_SEND_MILLIS: Long = 5

        /** Maximum number of sends of one call, whether or not the endpoints executed it. */
        const val MAX_SENDS: Int = 3

        /** Share of the remaining time to wait for the head of a response before trying another endpoint. */
        const val HEAD_TIMEOUT_SHARE: Double = 0.4

        /** Interval between attempts to reserve an endpoint while none is available. */
        const val PLACEMENT_POLL_MILLIS: Long = 25
    }
}
