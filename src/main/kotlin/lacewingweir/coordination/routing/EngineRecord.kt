package lacewingweir.coordination.routing

import lacewingweir.state.bundle.Endpoint
import lacewingweir.state.health.EndpointHealth
import lacewingweir.state.id.Incarnation
import lacewingweir.state.id.WeightsVersion
import lacewingweir.state.placement.EngineEstimate
import lacewingweir.state.placement.EngineSnapshot
import lacewingweir.state.placement.KnownPrefixes
import lacewingweir.state.placement.PrefixChain

/** The state that this instance keeps about one engine. Guarded by the scheduler's lock. */
internal class EngineRecord(
    maxKnownPrefixes: Int,
) {
    var estimate: EngineEstimate = EngineEstimate()
    var health: EndpointHealth = EndpointHealth()
    var leavingUntilMillis: Long = 0
    val knownPrefixes: KnownPrefixes = KnownPrefixes(maxKnownPrefixes)
    private val notServingUntilMillis = HashMap<WeightsVersion, Long>()

    /** Returns whether the engine recently reported that it doesn't serve [weights]. */
    fun isNotServing(
        weights: WeightsVersion,
        nowMillis: Long,
    ): Boolean = nowMillis < (notServingUntilMillis[weights] ?: 0)

    fun markNotServing(
        weights: WeightsVersion,
        nowMillis: Long,
    ) {
        notServingUntilMillis.values.removeIf { it <= nowMillis }
        notServingUntilMillis[weights] = nowMillis + NOT_SERVING_BACKOFF_MILLIS
    }

    fun onIncarnation(incarnation: Incarnation) {
        if (knownPrefixes.onIncarnation(incarnation)) {
            estimate = estimate.copy(othersRunning = 0.0, othersBacklogTokens = 0.0)
        }
    }

    fun snapshot(
        endpoint: Endpoint,
        prefix: PrefixChain,
        maxBacklogMillis: Double,
        nowMillis: Long,
    ): EngineSnapshot {
        val running = estimate.runningAt(nowMillis)
        val backlogTokens = estimate.backlogTokensAt(nowMillis)
        val slots = endpoint.slots * health.slotShare(nowMillis)
        val backlogMillis = backlogTokens * estimate.prefillMillisPerToken
        return EngineSnapshot(
            id = endpoint.id,
            slots = endpoint.slots,
            runningRequests = running,
            backlogTokens = backlogTokens,
            cachedTokens = knownPrefixes.expectedTokens(prefix, nowMillis),
            prefillMillisPerToken = estimate.prefillMillisPerToken,
            hasCapacity = running < maxOf(1.0, slots) && (backlogTokens <= 0.0 || backlogMillis < maxBacklogMillis),
        )
    }

    private companion object {
        /** Time for which an engine that serves other weights gets no requests for the requested version. */
        const val NOT_SERVING_BACKOFF_MILLIS: Long = 250
    }
}
