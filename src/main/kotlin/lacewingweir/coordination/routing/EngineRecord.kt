package lacewingweir.coordination.routing

import lacewingweir.state.bundle.Endpoint
import lacewingweir.state.health.EndpointHealth
import lacewingweir.state.id.Incarnation
import lacewingweir.state.id.WeightsVersion
import lacewingweir.state.placement.EngineEstimate
import lacewingweir.state.placement.EngineSnapshot
import lacewingweir.state.placement.KnownPrefixes
import lacewingweir.state.placement.PrefixChain

/** Everything that this instance holds about one engine. Guarded by the scheduler's lock. */
internal class EngineRecord(
    maxKnownPrefixes: Int,
) {
    var estimate: EngineEstimate = EngineEstimate()
    var health: EndpointHealth = EndpointHealth()
    var leavingUntilMillis: Long = 0
    val known: KnownPrefixes = KnownPrefixes(maxKnownPrefixes)
    private val notServingUntilMillis = HashMap<WeightsVersion, Long>()

    /** Whether the engine recently did not serve [weights]. */
    fun lacks(
        weights: WeightsVersion,
        nowMillis: Long,
    ): Boolean = nowMillis < (notServingUntilMillis[weights] ?: 0)

    fun markNotServing(
        weights: WeightsVersion,
        nowMillis: Long,
    ) {
        notServingUntilMillis.values.removeIf { it <= nowMillis }
        notServingUntilMillis[weights] = nowMillis + NOT_SERVING_PAUSE_MILLIS
    }

    fun onIncarnation(incarnation: Incarnation) {
        if (known.onIncarnation(incarnation)) {
            estimate = estimate.copy(othersRunning = 0.0, othersBacklogTokens = 0.0)
        }
    }

    fun snapshot(
        endpoint: Endpoint,
        prefix: PrefixChain,
        maxWaitMillis: Double,
        nowMillis: Long,
    ): EngineSnapshot {
        val running = estimate.runningAt(nowMillis)
        val backlog = estimate.backlogTokensAt(nowMillis)
        val slots = endpoint.slots * health.slotShare(nowMillis)
        val waitMillis = backlog * estimate.prefillMillisPerToken
        return EngineSnapshot(
            id = endpoint.id,
            slots = endpoint.slots,
            runningRequests = running,
            backlogTokens = backlog,
            cachedTokens = known.expectedTokens(prefix, nowMillis),
            prefillMillisPerToken = estimate.prefillMillisPerToken,
            hasCapacity = running < maxOf(1.0, slots) && (backlog <= 0.0 || waitMillis < maxWaitMillis),
        )
    }

    private companion object {
        /** Time for which an engine with other weights gets no requests for the wanted version. */
        const val NOT_SERVING_PAUSE_MILLIS: Long = 250
    }
}
