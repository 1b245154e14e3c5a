package lacewingweir.coordination.placement

import lacewingweir.coordination.gossip.PeerDigests
import lacewingweir.coordination.gossip.PrefilledPrefix
import lacewingweir.state.id.EndpointId
import lacewingweir.state.time.MonotonicClock

/**
 * Shared prompt prefixes that engines have recently processed for this instance. Not thread-safe; the owner
 * synchronizes.
 */
internal class RecentPrefills(
    private val clock: MonotonicClock,
) {
    private val prefills = ArrayDeque<Pair<Long, PrefilledPrefix>>()

    fun add(
        engine: EndpointId,
        prefilled: PrefilledParts,
    ) {
        val now = clock.nowMillis()
        // The last part is specific to the request.
        for (n in 0 until prefilled.prefixHashes.size - 1) {
            prefills.addLast(
                now to PrefilledPrefix(engine.value, prefilled.prefixHashes[n], prefilled.partTokens[n]),
            )
        }
    }

    /**
     * Returns the prefills of the last [PeerDigests.DIGEST_VALIDITY_MILLIS], so that a few lost digests lose none
     * of them.
     */
    fun recent(): List<PrefilledPrefix> {
        val oldest = clock.nowMillis() - PeerDigests.DIGEST_VALIDITY_MILLIS
        while (prefills.isNotEmpty() && prefills.first().first < oldest) prefills.removeFirst()
        return prefills.map { it.second }
    }
}
