package lacewingweir.coordination.placement

import lacewingweir.coordination.gossip.EndpointLoad
import lacewingweir.coordination.gossip.InstanceDigest
import lacewingweir.state.id.EndpointTag
import lacewingweir.state.time.MonotonicClock

/**
 * Load of the peers at each endpoint, from their latest digests. Not thread-safe; the owner synchronizes.
 *
 * A placement asks for the load of up to a hundred engines, and only few of the peers have load at a given one, so
 * reports are kept by endpoint.
 */
internal class PeerLoads(
    private val clock: MonotonicClock,
) {
    private class ReceivedLoad(
        val load: EndpointLoad,
        val receivedAtMillis: Long,
        val validUntilMillis: Long,
    )

    private class Report(
        val endpoints: List<EndpointTag>,
        val receivedAtMillis: Long,
        val validUntilMillis: Long,
    )

    private val byEndpoint = HashMap<EndpointTag, HashMap<String, ReceivedLoad>>()
    private val latestByPeer = HashMap<String, Report>()

    /** The number of peers whose latest digests are valid. */
    val peers: Int
        get() = clock.nowMillis().let { now -> latestByPeer.values.count { it.validUntilMillis >= now } }

    /** Returns the sum of the ages of the peers' valid digests, in milliseconds. */
    fun summedAgeMillis(): Long {
        val now = clock.nowMillis()
        return latestByPeer.values.sumOf { if (it.validUntilMillis >= now) now - it.receivedAtMillis else 0 }
    }

    /** Mean time between the digests of a peer, in milliseconds; zero without peers. */
    var intervalMillis: Double = 0.0
        private set

    fun onDigest(digest: InstanceDigest) {
        val now = clock.nowMillis()
        intervalMillis += INTERVAL_SAMPLE_WEIGHT * (digest.intervalMillis - intervalMillis)
        val validUntil = now + digest.validityMillis
        for (endpoint in latestByPeer[digest.instance]?.endpoints.orEmpty()) {
            val loads = byEndpoint[endpoint] ?: continue
            loads.remove(digest.instance)
            if (loads.isEmpty()) byEndpoint.remove(endpoint)
        }
        latestByPeer[digest.instance] = Report(digest.loads.map { it.endpoint }, now, validUntil)
        for (load in digest.loads) {
            byEndpoint.getOrPut(load.endpoint) { HashMap() }[digest.instance] = ReceivedLoad(load, now, validUntil)
        }
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
        return byEndpoint[endpoint]?.values?.filter { it.validUntilMillis >= now }.orEmpty()
    }

    private companion object {
        const val INTERVAL_SAMPLE_WEIGHT: Double = 0.02
    }
}
