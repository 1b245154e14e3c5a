/**
 * The path of a request: route, key, rate, placement, sends, answer.
 *
 * Every decision is taken on the newest snapshot at the moment of each send. A request that has been given up gets its
 * final answer at once.
 */
package lacewingweir.transport.relay

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.job
import kotlinx.coroutines.withTimeoutOrNull
import lacewingweir.coordination.fleet.ContactProof
import lacewingweir.coordination.fleet.FleetDirectory
import lacewingweir.coordination.gossip.FleetRateLimiter
import lacewingweir.coordination.gossip.RateDecision
import lacewingweir.coordination.placement.EndpointReservation
import lacewingweir.coordination.placement.EndpointTracker
import lacewingweir.coordination.placement.PlacementRequest
import lacewingweir.coordination.placement.ReservationOutcome
import lacewingweir.state.fleet.CustomerSpec
import lacewingweir.state.fleet.FleetConfig
import lacewingweir.state.fleet.RequestKind
import lacewingweir.state.fleet.RoutePolicy
import lacewingweir.state.id.ServiceName
import lacewingweir.state.time.MonotonicClock
import lacewingweir.transport.http.PeerClosedException
import lacewingweir.transport.http.ServerExchange
import kotlin.random.Random

private val logger = KotlinLogging.logger {}

internal class CallRelay(
    private val directory: FleetDirectory,
    private val proof: ContactProof,
    private val rates: FleetRateLimiter,
    private val repeats: RepeatBudgets,
    private val tracker: EndpointTracker,
    private val sender: EndpointSender,
    private val clock: MonotonicClock,
    private val limits: () -> RelayLimits,
    private val random: Random = Random.Default,
) {
    /** Serves one call. Cancelling it closes the connection to the endpoint. */
    suspend fun handle(
        call: InboundCall,
        exchange: ServerExchange,
    ) {
        val run = CallState(call, exchange, directory, proof, clock, limits, random)
        try {
            serve(run)
        } catch (e: CancellationException) {
            run.log("caller left")
            throw e
        } catch (e: PeerClosedException) {
            run.log("caller left: ${e.message}")
        }
    }

    private suspend fun serve(run: CallState) {
        val admitted = admit(run) ?: return
        run.route = admitted.route
        // What may run once only is left to finish: nobody else would learn whether it ran.
        if (admitted.route.kind != RequestKind.NON_IDEMPOTENT) {
            val job = currentCoroutineContext().job
            run.exchange.onDisconnect { job.cancel() }
        }
        run.deadlineAtMillis =
            run.call.arrivedAtMillis + minOf(run.call.deadlineMillis ?: Long.MAX_VALUE, admitted.route.timeoutMillis)
        val service = target(admitted.route)
        repeats.onRequest(service)
        sendUntilAnswered(run, admitted, service)
    }

    /** Checks that need no endpoint. Answers and returns null if one fails. */
    private suspend fun admit(run: CallState): Admitted? =
        when (val found = check(run.call)) {
            is Check.Refused -> run.refuse(found.refusal, limits().uninformedRetryMillis)
            is Check.Passed -> admitRate(run, found.admitted)
        }

    private suspend fun admitRate(
        run: CallState,
        admitted: Admitted,
    ): Admitted? {
        val customer = admitted.customer ?: return admitted
        val tokens = tokens(run.call, customer)
        val decision = rates.admit(customer, tokens)
        if (decision is RateDecision.Refused) {
            logger.info {
                "relay: id=${run.call.id} over rate customer=${customer.id} limit=${customer.rate} tokens=$tokens " +
                    "used=${decision.usedTokens} peersHeard=${decision.livePeers} instances=${decision.fleetSize}"
            }
            return run.refuse(RelayRefusal.OVER_RATE, decision.retryAfterMillis)
        }
        return admitted
    }

    /** Whether the newest configuration allows the call, on a proof that is young enough for the answer. */
    private fun check(call: InboundCall): Check {
        val config = directory.snapshot.config ?: return Check.Refused(RelayRefusal.UNINFORMED)
        val found = lookUp(call, config)
        val oldest =
            when (found) {
                // Without fresh knowledge the route or key may exist by now.
                is Check.Refused -> limits().maxRefusalProofAgeMillis
                is Check.Passed ->
                    if (found.admitted.customer ==
                        null
                    ) {
                        Long.MAX_VALUE
                    } else {
                        limits().maxKeyProofAgeMillis
                    }
            }
        return if (proof.ageMillis() <= oldest) found else Check.Refused(RelayRefusal.UNINFORMED)
    }

    private fun lookUp(
        call: InboundCall,
        config: FleetConfig,
    ): Check {
        val route = config.route(call.host, call.path) ?: return Check.Refused(RelayRefusal.NO_ROUTE)
        if (route.open || config.customers.isEmpty()) return Check.Passed(Admitted(route, null))
        val customer = call.key?.let(config::customer) ?: return Check.Refused(RelayRefusal.UNKNOWN_KEY)
        return Check.Passed(Admitted(route, customer))
    }

    private fun tokens(
        call: InboundCall,
        customer: CustomerSpec,
    ): Long = call.prompt?.let { it.inputTokens + it.maxOutputTokens } ?: customer.requestTokens

    private fun target(route: RoutePolicy): ServiceName {
        var draw = random.nextInt(route.targets.sumOf { it.weight }.coerceAtLeast(1))
        for (target in route.targets) {
            draw -= target.weight
            if (draw < 0) return target.service
        }
        return route.targets.last().service
    }

    private suspend fun sendUntilAnswered(
        run: CallState,
        admitted: Admitted,
        service: ServiceName,
    ) {
        while (maySend(run, admitted, service)) {
            val reservation = place(run, admitted, service) ?: return
            var outcome = sendOnce(run, admitted, service, reservation)
            while (outcome is SendOutcome.Moved) {
                run.arrivals++
                run.runs++
                outcome = sendOnce(run, admitted, service, outcome.run.reservation, outcome.run.copy)
            }
            if (settle(run, outcome)) return
        }
    }

    /** Whether another send makes sense. Answers the caller if not. */
    private suspend fun maySend(
        run: CallState,
        admitted: Admitted,
        service: ServiceName,
    ): Boolean {
        if (run.remainingMillis < MIN_SEND_MILLIS) {
            run.giveUpLate()
            return false
        }
        if (run.sends > 0 && !mayRepeat(run, admitted, service)) {
            run.giveUp()
            return false
        }
        return true
    }

    private fun mayRepeat(
        run: CallState,
        admitted: Admitted,
        service: ServiceName,
    ): Boolean {
        val route = admitted.route
        val harmless = !run.mayHaveRun || (route.repeatable && run.runs < route.maxEndpoints)
        // A send that reached no endpoint is no load on any, so the next one is no repeat.
        return harmless && run.sends < MAX_SENDS && (run.arrivals == 0 || repeats.tryRepeat(service))
    }

    /** Finds an endpoint, waiting a little while none takes requests. Answers and returns null if there is none. */
    private suspend fun place(
        run: CallState,
        admitted: Admitted,
        service: ServiceName,
    ): EndpointReservation? {
        val waitUntil = clock.nowMillis() + minOf(run.remainingMillis / 3, limits().placementWaitMillis)
        val cacheIsolation =
            admitted.customer
                ?.takeIf { it.isolated }
                ?.id
                ?.value
        val request = PlacementRequest(service, run.call.prompt, cacheIsolation, run.tried)
        while (true) {
            val reservation =
                tracker.place(request) ?: if (run.tried.isEmpty()) null else tracker.place(request.withoutExclusions())
            if (reservation != null) return accept(run, reservation)
            if (clock.nowMillis() >= waitUntil) {
                run.giveUpUnplaced(RelayRefusal.NO_ENDPOINT, limits().noEndpointRetryMillis)
                return null
            }
            delay(PLACE_POLL_MILLIS)
        }
    }

    /**
     * Load pattern: more prompts arrive than engines can read before callers give up. Turning the excess away at once
     * keeps what is admitted on time, and its callers learn when the backlog will have gone.
     */
    private suspend fun accept(
        run: CallState,
        reservation: EndpointReservation,
    ): EndpointReservation? {
        val usableMillis = run.remainingMillis * limits().usableShareOfTimeLeft
        // The key may have been withdrawn, or its proof grown too old, while the call waited.
        val current = check(run.call)
        if (current is Check.Passed && reservation.expectedMillis <= usableMillis) return reservation
        reservation.end(ReservationOutcome.NOT_COUNTED)
        if (current is Check.Refused) {
            run.giveUpUnplaced(current.refusal, limits().uninformedRetryMillis)
        } else {
            val excess = (reservation.expectedMillis - usableMillis).toLong()
            run.giveUpUnplaced(RelayRefusal.OVERLOADED, maxOf(excess, limits().overloadRetryMillis))
        }
        return null
    }

    private suspend fun sendOnce(
        run: CallState,
        admitted: Admitted,
        service: ServiceName,
        reservation: EndpointReservation,
        cacheCopy: KvCacheCopy? = null,
    ): SendOutcome {
        val route = admitted.route
        val remainingMillis = run.remainingMillis
        val engine = run.call.prompt != null
        run.sends++
        run.tried += reservation.endpoint.id
        run.endpoint = reservation.endpoint.id
        val another = route.repeatable && run.runs + 1 < route.maxEndpoints && repeats.canRepeat(service)
        // Another endpoint costs a second run, so a busy one is given the time that it was expected to take, and more.
        val patience = remainingMillis * FIRST_TRY_SHARE + reservation.expectedMillis
        val headTimeout = if (another) minOf(patience.toLong(), remainingMillis) else remainingMillis
        val send =
            OutboundCall(
                call = run.call,
                endpoint = reservation.endpoint,
                remainingMillis = remainingMillis,
                headTimeoutMillis = headTimeout,
                customer = admitted.customer?.id,
                cacheSalt = if (engine) reservation.salt else null,
                weights = if (engine) reservation.weights else null,
                priority = if (engine) (admitted.customer?.priority ?: route.priority) else null,
                resumeAfter = run.progress.lastId ?: run.call.resumeAfter,
                cacheSource = reservation.cacheSource,
                cacheCopy = cacheCopy,
            )
        logger.info {
            "relay: id=${run.call.id} sent to=${reservation.endpoint.id} try=${run.sends} leftMs=$remainingMillis " +
                "expectedMs=${reservation.expectedMillis.toLong()} missed=${reservation.uncachedTokens.toLong()} " +
                "weights=${reservation.weights} fetch=${reservation.cacheSource?.id} continues=${cacheCopy?.handle}"
        }
        try {
            return withTimeoutOrNull(remainingMillis) { sender.send(send, reservation, run.exchange, run.progress) }
                ?: SendOutcome.Broken("out of time", timedOut = true)
        } finally {
            // The send may not even have begun, if the caller left or the time ran out meanwhile.
            reservation.end(ReservationOutcome.NOT_COUNTED)
        }
    }

    /** Records the outcome of a send. Returns whether the call is finished. */
    private suspend fun settle(
        run: CallState,
        outcome: SendOutcome,
    ): Boolean {
        when (outcome) {
            is SendOutcome.Delivered -> {
                run.log("answered status=${outcome.status}")
                return true
            }
            is SendOutcome.NotRun -> {
                if (outcome.refused) run.arrivals++
                logger.info {
                    "relay: id=${run.call.id} not run at ${run.endpoint}: ${outcome.reason}"
                }
            }
            // Followed to its end by the caller of this function.
            is SendOutcome.Moved -> Unit
            is SendOutcome.ErrorAnswer -> {
                run.arrivals++
                run.runs++
                run.error = outcome
                logger.info {
                    "relay: id=${run.call.id} failed at ${run.endpoint} status=${outcome.head.status}"
                }
            }
            is SendOutcome.Broken -> {
                run.arrivals++
                run.runs++
                logger.info { "relay: id=${run.call.id} broken at ${run.endpoint}: ${outcome.reason}" }
                if (outcome.timedOut) {
                    run.giveUpLate()
                    return true
                }
            }
        }
        return false
    }

    private sealed interface Check {
        class Passed(
            val admitted: Admitted,
        ) : Check

        class Refused(
            val refusal: RelayRefusal,
        ) : Check
    }

    private class Admitted(
        val route: RoutePolicy,
        val customer: CustomerSpec?,
    )

    private companion object {
        /** Less than this is not enough for any endpoint to answer. */
        const val MIN_SEND_MILLIS: Long = 5

        /** Endpoints tried for one call, whether they ran it or not. */
        const val MAX_SENDS: Int = 3

        /** Part of the time left after which a first endpoint that is silent is given up for another one. */
        const val FIRST_TRY_SHARE: Double = 0.4

        /** Pause between looks for an endpoint while none takes requests. */
        const val PLACE_POLL_MILLIS: Long = 25
    }
}
