package lacewingweir.transport.relay

import io.github.oshai.kotlinlogging.KotlinLogging
import lacewingweir.coordination.crash.CrashQuarantine
import lacewingweir.coordination.crash.Standing
import lacewingweir.coordination.fleet.FleetDirectory
import lacewingweir.coordination.fleet.StoreContactProof
import lacewingweir.coordination.gossip.FleetRateLimiter
import lacewingweir.coordination.gossip.RateDecision
import lacewingweir.state.fleet.CustomerSpec
import lacewingweir.state.fleet.FleetConfig
import lacewingweir.state.fleet.RoutePolicy

private val logger = KotlinLogging.logger {}

/** A call that passed all checks, with its route and the customer whose key it has, or null if none is needed. */
internal class Admitted(
    val route: RoutePolicy,
    val customer: CustomerSpec?,
)

/** Checks whether a call may be sent: its route, its key, the standing of its request, and its customer's rate. */
internal class CallAdmission(
    private val directory: FleetDirectory,
    private val proof: StoreContactProof,
    private val rateLimiter: FleetRateLimiter,
    private val quarantine: CrashQuarantine,
    private val limits: () -> RelayLimits,
    private val stop: InstanceStop,
) {
    sealed interface Check {
        class Passed(
            val admitted: Admitted,
        ) : Check

        class Refused(
            val refusal: RelayRefusal,
            val retryAfterMillis: Long,
        ) : Check
    }

    /** Checks route, key, time, standing and rate. Refuses the call and returns null if a check fails. */
    suspend fun admit(state: CallState): Admitted? =
        when (val checked = checkRouteAndKey(state.call)) {
            is Check.Refused -> state.refuse(checked.refusal, checked.retryAfterMillis)
            is Check.Passed -> {
                state.route = checked.admitted.route
                state.customer = checked.admitted.customer?.id
                state.deadlineAtMillis =
                    state.call.arrivedAtMillis +
                    minOf(state.call.callerTimeoutMillis ?: Long.MAX_VALUE, checked.admitted.route.timeoutMillis)
                when {
                    stop.isTooLateFor(checked.admitted.route.id, state.deadlineAtMillis) ->
                        stopping().let { state.refuse(it.refusal, it.retryAfterMillis) }
                    !isAllowed(state) -> null
                    // The rate counts a call where its caller sent it.
                    state.passOrigin != null -> checked.admitted
                    else -> checkRate(state, checked.admitted)
                }
            }
        }

    /** Returns whether the call doesn't crash endpoints as far as is known. Refuses it if not. */
    private suspend fun isAllowed(state: CallState): Boolean =
        when (val standing = quarantine.standing { state.suspects }) {
            Standing.Clear -> true
            Standing.OnTrial -> {
                state.onTrial = quarantine.beginTrial(state.suspects.request)
                if (!state.onTrial) suspected().let { state.refuse<Unit>(it.refusal, it.retryAfterMillis) }
                state.onTrial
            }
            is Standing.Blocked -> {
                logger.info { "relay: id=${state.call.id} is blocked because of ${standing.cause}" }
                blocked().let { state.refuse<Unit>(it.refusal, it.retryAfterMillis) }
                false
            }
        }

    /**
     * Returns why a call that was admitted must be refused by now, or null. While it waited, its key may have been
     * withdrawn, the contact proof may have become too old, the request may have come under suspicion, or the instance
     * may have begun to stop.
     */
    fun recheck(state: CallState): Check.Refused? {
        val routeAndKey = checkRouteAndKey(state.call)
        if (routeAndKey is Check.Refused) return routeAndKey
        val route = state.route?.id
        if (!state.mayHaveRun && route != null && stop.isTooLateFor(route, state.deadlineAtMillis)) return stopping()
        return when (quarantine.standing { state.suspects }) {
            Standing.Clear -> null
            Standing.OnTrial -> suspected().takeUnless { state.onTrial }
            is Standing.Blocked -> blocked()
        }
    }

    private fun stopping() = Check.Refused(RelayRefusal.STOPPING, limits().stoppingRetryMillis)

    private fun suspected() = Check.Refused(RelayRefusal.SUSPECTED, limits().suspectedRetryMillis)

    private fun blocked() = Check.Refused(RelayRefusal.BLOCKED, limits().blockedRetryMillis)

    private suspend fun checkRate(
        state: CallState,
        admitted: Admitted,
    ): Admitted? {
        val customer = admitted.customer ?: return admitted
        val tokens = tokensToCharge(state.call, customer)
        val decision = rateLimiter.admit(customer, tokens)
        if (decision is RateDecision.Refused) {
            logger.info {
                "relay: id=${state.call.id} over rate customer=${customer.id} limit=${customer.rate} tokens=$tokens " +
                    "used=${decision.usedTokens} extrapolated=${decision.extrapolatedTokens} " +
                    "peersHeard=${decision.livePeers} instances=${decision.fleetSize}"
            }
            return state.refuse(RelayRefusal.OVER_RATE, decision.retryAfterMillis)
        }
        return admitted
    }

    /**
     * Checks route and key of the call against the newest configuration.
     *
     * The call is refused as [RelayRefusal.NO_CURRENT_CONFIG] if the contact proof is too old for the result to be
     * trusted.
     */
    private fun checkRouteAndKey(call: InboundCall): Check {
        val config = directory.snapshot.config ?: return refused(RelayRefusal.NO_CURRENT_CONFIG)
        val checked = checkAgainst(call, config)
        val maxProofAgeMillis =
            when (checked) {
                // With an older proof, the route or key may have been added since.
                is Check.Refused -> limits().maxRefusalProofAgeMillis
                is Check.Passed ->
                    if (checked.admitted.customer == null) Long.MAX_VALUE else limits().maxKeyProofAgeMillis
            }
        return if (proof.ageMillis() <= maxProofAgeMillis) checked else refused(RelayRefusal.NO_CURRENT_CONFIG)
    }

    private fun checkAgainst(
        call: InboundCall,
        config: FleetConfig,
    ): Check {
        val route = config.route(call.host, call.path) ?: return refused(RelayRefusal.NO_ROUTE)
        if (route.open || config.customers.isEmpty()) return Check.Passed(Admitted(route, null))
        val customer = call.keyDigest?.let(config::customer) ?: return refused(RelayRefusal.UNKNOWN_KEY)
        return Check.Passed(Admitted(route, customer))
    }

    private fun refused(refusal: RelayRefusal) = Check.Refused(refusal, limits().noCurrentConfigRetryMillis)

    private fun tokensToCharge(
        call: InboundCall,
        customer: CustomerSpec,
    ): Long = call.prompt?.let { it.inputTokens + it.maxOutputTokens } ?: customer.requestTokens
}
