package lacewingweir.coordination.placement

import lacewingweir.coordination.gossip.EndpointLoad
import lacewingweir.state.fleet.EndpointEntry
import lacewingweir.state.health.EndpointHealth
import lacewingweir.state.id.WeightsNumber
import lacewingweir.state.placement.CachedPrefixes

/**
 * The state of one endpoint from its start to its restart, as known to this instance.
 *
 * Load and health are derived only from this instance's own requests. Not thread-safe; [EndpointTracker] synchronizes.
 */
internal class EndpointState(
    var entry: EndpointEntry,
    memoryTokens: Long,
) {
    val prefixes = CachedPrefixes((memoryTokens * CACHE_MEMORY_SHARE).toLong())
    var running = 0
    var backlogTokens = 0.0
    var memoryTokens = 0L
    var health = EndpointHealth()

    /** Weights reported by the engine's answers or by the instance that loaded them; null before the first report. */
    var observedWeights: WeightsNumber? = null

    /** When this instance itself last learned of other weights from the engine. Its peers may not know them yet. */
    var weightsLearnedAtMillis = Long.MIN_VALUE
    var loadingUntilMillis = 0L

    /** The instance that announced the load. Only its digests can say that the load has ended. */
    var loadingReporter: String? = null

    /** Requests per second that the endpoint accepts from all instances together, or null if it states no limit. */
    var requestLimit: Double? = null

    /** Time until which no request is sent because the endpoint rejected one. */
    var avoidedUntilMillis = 0L

    /** Returns whether the engine is about to load weights or to leave. */
    fun isDraining(nowMillis: Long): Boolean = entry.leaving || loadingUntilMillis > nowMillis

    /** Returns whether the engine is not loading weights and has not recently rejected a request. */
    fun acceptsPrompts(nowMillis: Long): Boolean = loadingUntilMillis <= nowMillis && avoidedUntilMillis <= nowMillis

    /** Applies a newer version of the endpoint's store item. */
    fun update(changed: EndpointEntry) {
        val published = changed.weights.values.maxOrNull()
        if (published != null && published > (weights() ?: published)) {
            updateWeights(published)
            loadingUntilMillis = 0
        }
        entry = changed
    }

    fun weights(): WeightsNumber? = observedWeights ?: entry.weights.values.maxOrNull()

    /** Records the weights in use. A change clears the known cached prefixes, since loading clears the cache. */
    fun updateWeights(weights: WeightsNumber) {
        if (weights() != weights) prefixes.clear()
        observedWeights = weights
    }

    fun load() = EndpointLoad(entry.tag, running, backlogTokens.toLong(), memoryTokens)

    private companion object {
        /** Share of an engine's memory that cached prefixes may use; the rest is for running requests. */
        const val CACHE_MEMORY_SHARE: Double = 0.6
    }
}
