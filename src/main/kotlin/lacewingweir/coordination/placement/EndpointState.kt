package lacewingweir.coordination.placement

import lacewingweir.coordination.gossip.EndpointLimit
import lacewingweir.coordination.gossip.EndpointLoad
import lacewingweir.state.fleet.EndpointEntry
import lacewingweir.state.health.EndpointHealth
import lacewingweir.state.id.EndpointTag
import lacewingweir.state.id.WeightsNumber
import lacewingweir.state.limit.RequestTokens
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

    /** The peer that announced the load, or null if this instance did. Only its digests can say that it has ended. */
    var loadingReporter: String? = null

    /** Requests per second that the endpoint accepts from all instances together, or null if it states no limit. */
    var requestLimit: Double? = null
        private set

    /** When the endpoint stated [requestLimit], or most recently stated none, to this instance or to a peer. */
    private var limitStatedAtMillis = Long.MIN_VALUE
    private var requestTokens: RequestTokens? = null
    private var lastShare = 0.0
    private var shareValidUntilMillis = Long.MIN_VALUE

    /** Records what the endpoint stated at [statedAtMillis]. Returns whether this is newer and changes the limit. */
    fun updateRequestLimit(
        perSecond: Double?,
        statedAtMillis: Long,
    ): Boolean {
        if (statedAtMillis < limitStatedAtMillis) return false
        limitStatedAtMillis = statedAtMillis
        if (requestLimit == perSecond) return false
        if (requestLimit == null) requestTokens = RequestTokens(statedAtMillis)
        requestLimit = perSecond
        shareValidUntilMillis = Long.MIN_VALUE
        return true
    }

    /** Returns the limit for the digest, or null if there is none and peers know that already. */
    fun limitReport(nowMillis: Long): EndpointLimit? {
        val ageMillis = nowMillis - limitStatedAtMillis
        if (requestTokens == null || requestLimit == null && ageMillis > LIMIT_END_NEWS_MILLIS) return null
        return EndpointLimit(entry.tag, requestLimit ?: EndpointLimit.NONE, ageMillis)
    }

    /** Returns the milliseconds until this instance may send a request under the limit, given its [share] of it. */
    fun limitedMillis(
        nowMillis: Long,
        share: (EndpointTag, perSecond: Double) -> Double,
    ): Long {
        val limit = requestLimit ?: return 0
        return requestTokens?.millisUntilAvailable(shareOf(limit, nowMillis, share), nowMillis) ?: 0
    }

    /** Counts a request against this instance's [share] of the limit. */
    fun takeRequest(
        nowMillis: Long,
        share: (EndpointTag, perSecond: Double) -> Double,
    ) {
        val limit = requestLimit ?: return
        requestTokens?.take(shareOf(limit, nowMillis, share), nowMillis)
    }

    private fun shareOf(
        limit: Double,
        nowMillis: Long,
        share: (EndpointTag, perSecond: Double) -> Double,
    ): Double {
        if (nowMillis >= shareValidUntilMillis) {
            lastShare = share(entry.tag, limit)
            shareValidUntilMillis = nowMillis + SHARE_VALIDITY_MILLIS
        }
        return lastShare
    }

    private var lastSlotShare = 0
    private var slotShareValidUntilMillis = Long.MIN_VALUE

    /** Returns this instance's [share] of the endpoint's slots. */
    fun slotShare(
        nowMillis: Long,
        share: (EndpointTag, slots: Int) -> Int,
    ): Int {
        if (nowMillis >= slotShareValidUntilMillis) {
            lastSlotShare = share(entry.tag, entry.slots.coerceAtLeast(1))
            slotShareValidUntilMillis = nowMillis + SHARE_VALIDITY_MILLIS
        }
        return lastSlotShare
    }

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

        /** How long a share is used before it is calculated again from the instances that run. */
        const val SHARE_VALIDITY_MILLIS: Long = 100

        /** How long the end of a limit is reported. Allows for several digests, in case some are lost. */
        const val LIMIT_END_NEWS_MILLIS: Long = 5_000
    }
}
