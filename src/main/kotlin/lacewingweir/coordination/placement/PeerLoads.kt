package lacewingweir.coordination.placement

import lacewingweir.coordination.gossip.EndpointLoad
import lacewingweir.coordination.gossip.InstanceDigest
import lacewingweir.state.id.EndpointTag
import lacewingweir.state.time.MonotonicClock

/** Load of the peers at each endpoint, from their latest digests. Not thread-safe; the owner synchronizes. */
internal class PeerLoads(
    private val clock: MonotonicClock,
) {
    private class ReceivedLoad(
        val load: EndpointLoad,
        val receivedAtMillis: Long,
        val validUntilMillis: Long,
    )

    private val byPeer = HashMap<String, Map<EndpointTag, ReceivedLoad>>()
    private val digestTimes = HashMap<String, Pair<Long, Long>>()

    /** The number of peers whose latest digests are valid. */
    val peers: Int
        get() = clock.nowMillis().let { now -> digestTimes.values.count { (_, validUntil) -> validUntil >= now } }

    /** Returns the sum of the ages of the peers' valid digests, in milliseconds. */
    fun summedAgeMillis(): Long {
        val now = clock.nowMillis()
        return digestTimes.values.sumOf { (received, validUntil) -> if (validUntil >= now) now - received else 0 }
    }

    fun onDigest(digest: InstanceDigest) {
        val now = clock.nowMillis()
        digestTimes[digest.instance] = now to now + digest.validityMillis
        val validUntil = now + digest.validityMillis
        byPeer[digest.instance] = digest.loads.associate { it.endpoint to ReceivedLoad(it, now, validUntil) }
    }

    /** Returns the number of requests that all peers have running at the endpoint. */
    fun running(endpoint: EndpointTag): Int = recentLoads(endpoint).sumOf { it.load.running }

    /** Returns the KV cache memory, in tokens, that the peers' running requests may use at the engine. */
    fun memoryTokens(endpoint: EndpointTag): Long = recentLoads(endpoint).sumOf { it.load.memoryTokens }

    /**
     * Returns the peers' prompt tokens that wait for prefill at the engine.
     *
     * Subtracts from each report the tokens that the engine has processed since, at [tokensPerMilli].
     */
    fun backlogTokens(
        endpoint: EndpointTag,
        tokensPerMilli: Double = 0.0,
    ): Double {
        val now = clock.nowMillis()
        return recentLoads(endpoint).sumOf {
            (it.load.backlogTokens - (now - it.receivedAtMillis) * tokensPerMilli).coerceAtLeast(0.0)
        }
    }

    private fun recentLoads(endpoint: EndpointTag): List<ReceivedLoad> {
        val now = clock.nowMillis()
        return byPeer.values.mapNotNull { loads -> loads[endpoint]?.takeIf { it.validUntilMillis >= now } }
    }
}
