package lacewingweir.coordination.placement

import lacewingweir.coordination.gossip.EndpointLoad
import lacewingweir.coordination.gossip.InstanceDigest
import lacewingweir.coordination.gossip.PeerDigests
import lacewingweir.state.id.EndpointId
import lacewingweir.state.time.MonotonicClock

/** Load of the peers at each endpoint, from their latest digests. Not thread-safe; the owner synchronizes. */
internal class PeerLoads(
    private val clock: MonotonicClock,
) {
    private class ReceivedLoad(
        val load: EndpointLoad,
        val receivedAtMillis: Long,
    )

    private val byPeer = HashMap<String, Map<EndpointId, ReceivedLoad>>()

    fun onDigest(digest: InstanceDigest) {
        val now = clock.nowMillis()
        byPeer[digest.instance] = digest.loads.associate { EndpointId(it.endpoint) to ReceivedLoad(it, now) }
    }

    /** Returns the number of requests that all peers have running at the endpoint. */
    fun running(id: EndpointId): Int = recentLoads(id).sumOf { it.load.running }

    /** Returns the KV cache memory, in tokens, that the peers' running requests may use at the engine. */
    fun memoryTokens(id: EndpointId): Long = recentLoads(id).sumOf { it.load.memoryTokens }

    /**
     * Returns the peers' prompt tokens that wait for prefill at the engine.
     *
     * Subtracts from each report the tokens that the engine has processed since, at [tokensPerMilli].
     */
    fun backlogTokens(
        id: EndpointId,
        tokensPerMilli: Double = 0.0,
    ): Double {
        val now = clock.nowMillis()
        return recentLoads(id).sumOf {
            (it.load.backlogTokens - (now - it.receivedAtMillis) * tokensPerMilli).coerceAtLeast(0.0)
        }
    }

    private fun recentLoads(id: EndpointId): List<ReceivedLoad> {
        val oldest = clock.nowMillis() - PeerDigests.DIGEST_VALIDITY_MILLIS
        return byPeer.values.mapNotNull { loads -> loads[id]?.takeIf { it.receivedAtMillis >= oldest } }
    }
}
