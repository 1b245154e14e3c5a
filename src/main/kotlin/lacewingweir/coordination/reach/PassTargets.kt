package lacewingweir.coordination.reach

import lacewingweir.coordination.gossip.InstanceDigest
import lacewingweir.state.fleet.PeerEntry
import lacewingweir.state.id.FailureDomain
import lacewingweir.state.id.ServiceName
import java.util.concurrent.ConcurrentHashMap
import kotlin.random.Random

/**
 * Chooses the instance to which a call is passed on that can't be sent to an endpoint from here.
 *
 * Eligible are peers whose [digests] are valid and don't say that they take no calls of the service. Those in the same
 * failure [domain] and those with few requests are preferred.
 */
internal class PassTargets(
    private val domain: FailureDomain,
    private val peers: () -> Collection<PeerEntry>,
    private val digests: () -> List<InstanceDigest>,
    private val random: Random = Random.Default,
) {
    private val passing = ConcurrentHashMap<String, Int>()

    /** Returns an instance other than [excluded], or null if none is eligible. */
    fun choose(
        service: ServiceName,
        excluded: Set<String>,
    ): PeerEntry? {
        val eligible = digests().filterNot { service.value in it.unreachable }.associateBy { it.instance }
        return peers()
            .filter { it.name in eligible && it.name !in excluded }
            .minByOrNull { load(it, eligible.getValue(it.name)) }
    }

    /** Returns a measure of the load of [peer]. Random, as instances choose without knowing of each other. */
    private fun load(
        peer: PeerEntry,
        digest: InstanceDigest,
    ): Double {
        val requests = digest.loads.sumOf { it.running } + (passing[peer.name] ?: 0)
        return (requests + 1) * (1 + random.nextDouble()) + if (peer.domain == domain) 0.0 else REMOTE_DOMAIN_REQUESTS
    }

    /** Records that a call is being passed on to [peer], until [onEnd]. */
    fun onBegin(peer: PeerEntry) {
        passing.merge(peer.name, 1, Int::plus)
    }

    fun onEnd(peer: PeerEntry) {
        passing.computeIfPresent(peer.name) { _, count -> (count - 1).takeIf { it > 0 } }
    }

    private companion object {
        /** Requests by which an instance in another failure domain counts as busier. */
        const val REMOTE_DOMAIN_REQUESTS: Double = 4.0
    }
}
