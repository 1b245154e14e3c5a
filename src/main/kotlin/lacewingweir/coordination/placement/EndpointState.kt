package lacewingweir.coordination.placement

import lacewingweir.coordination.gossip.EndpointLoad
import lacewingweir.state.fleet.EndpointEntry
import lacewingweir.state.health.EndpointHealth
import lacewingweir.state.id.WeightsNumber
import lacewingweir.state.placement.CachedPrefixes

/** What this instance knows of one run of one endpoint from its own requests. The board synchronises. */
internal class EndpointState(
    var entry: EndpointEntry,
    memoryTokens: Long,
) {
    val cached = CachedPrefixes((memoryTokens * CACHE_SHARE).toLong())
    var running = 0
    var backlogTokens = 0.0
    var memoryTokens = 0L
    var health = EndpointHealth()

    /** Weights by the engine's own answers and by its loader's reports; null until there was any. */
    var seenWeights: WeightsNumber? = null
    var loadingUntilMillis = 0L

    /** The instance that announced the load; only it knows when the load has ended. */
    var loadingBy: String? = null

    /** The endpoint turned a request away without running it; it gets nothing until this time. */
    var avoidedUntilMillis = 0L

    /** Whether the engine is about to stop serving. */
    fun isDraining(nowMillis: Long): Boolean = entry.leaving || loadingUntilMillis > nowMillis

    /** Whether the engine is neither loading nor has lately turned a request away. */
    fun takesPrompts(nowMillis: Long): Boolean = loadingUntilMillis <= nowMillis && avoidedUntilMillis <= nowMillis

    /** Takes over a newer item of the endpoint's. */
    fun update(changed: EndpointEntry) {
        val stated = changed.weights.values.maxOrNull()
        if (stated != null && stated > (weights() ?: stated)) {
            learnWeights(stated)
            loadingUntilMillis = 0
        }
        entry = changed
    }

    fun weights(): WeightsNumber? = seenWeights ?: entry.weights.values.maxOrNull()

    /** Records the weights in use. Loading discards what the engine had cached. */
    fun learnWeights(weights: WeightsNumber) {
        if (weights() != weights) cached.clear()
        seenWeights = weights
    }

    fun load() = EndpointLoad(entry.id.value, running, backlogTokens.toLong(), memoryTokens)

    private companion object {
        /** Part of an engine's memory that cached beginnings may take; the rest is for running requests. */
        const val CACHE_SHARE: Double = 0.6
    }
}
