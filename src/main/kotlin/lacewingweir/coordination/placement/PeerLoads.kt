package lacewingweir.coordination.placement

import lacewingweir.coordination.gossip.EndpointLoad
import lacewingweir.coordination.gossip.InstanceDigest
import lacewingweir.coordination.gossip.PeerDigests
import lacewingweir.state.id.EndpointId
import lacewingweir.state.time.MonotonicClock

/** What peers have at the endpoints, by their latest digests. Not thread-safe; the owner synchronises. */
internal class PeerLoads(
    private val clock: MonotonicClock,
) {
    private class Reported(
        val load: EndpointLoad,
        val atMillis: Long,
    )

    private val byPeer = HashMap<String, Map<EndpointId, Reported>>()

    fun onDigest(digest: InstanceDigest) {
        val now = clock.nowMillis()
        byPeer[digest.instance] = digest.loads.associate { EndpointId(it.endpoint) to Reported(it, now) }
    }

    /** Requests of all peers at the endpoint. */
    fun running(id: EndpointId): Int = at(id).sumOf { it.load.running }

    /** Tokens that the peers' running requests may take of the engine's memory. */
    fun memoryTokens(id: EndpointId): Long = at(id).sumOf { it.load.memoryTokens }

    /** Prompt tokens of all peers that wait there, less what is read at [tokensPerMilli] since the digests. */
    fun backlogTokens(
        id: EndpointId,
        tokensPerMilli: Double = 0.0,
    ): Double {
        val now = clock.nowMillis()
        return at(id).sumOf { (it.load.backlogTokens - (now - it.atMillis) * tokensPerMilli).coerceAtLeast(0.0) }
    }

    private fun at(id: EndpointId): List<Reported> {
        val oldest = clock.nowMillis() - PeerDigests.DIGEST_VALIDITY_MILLIS
        return byPeer.values.mapNotNull { loads -> loads[id]?.takeIf { it.atMillis >= oldest } }
    }
}
