package lacewingweir.coordination.versions

import lacewingweir.coordination.gossip.InstanceDigest
import lacewingweir.coordination.gossip.VersionTally
import lacewingweir.state.versions.AnswerTally
import lacewingweir.state.versions.RouteEvidence
import lacewingweir.state.versions.ServiceEvidence

/**
 * Counts answers by rollout, route and version: own ones, and those of peers as their digests report them.
 *
 * Counts of peers that have ended or restarted are kept. Only rollouts that run are counted, on a bounded number of
 * routes.
 */
internal class RolloutCounts {
    private data class Key(
        val rollout: Int,
        val route: Int,
        val target: Boolean,
    )

    private class PeerTotals(
        val run: Long,
        val tallies: List<VersionTally>,
    )

    private val own = HashMap<Key, AnswerTally>()
    private val ended = HashMap<Key, AnswerTally>()
    private val peers = HashMap<String, PeerTotals>()

    fun retain(rollouts: Set<Int>) {
        own.keys.removeIf { it.rollout !in rollouts }
        ended.keys.removeIf { it.rollout !in rollouts }
        peers.values.removeIf { totals -> totals.tallies.none { it.rollout in rollouts } }
    }

    fun add(
        rollout: Int,
        route: Int,
        target: Boolean,
        answer: AnswerTally,
    ) {
        val key = Key(rollout, route, target)
        val known = own[key]
        if (known == null && own.size >= MAX_KEYS) return
        own[key] = known?.plus(answer) ?: answer
    }

    fun onDigest(digest: InstanceDigest) {
        val known = peers[digest.instance]
        if (known == null && digest.versions.isEmpty()) return
        if (known != null && known.run != digest.run) known.tallies.forEach(::keep)
        peers[digest.instance] = PeerTotals(digest.run, digest.versions.take(MAX_KEYS))
    }

    private fun keep(tally: VersionTally) {
        val key = tally.key()
        if (key in ended || ended.size < MAX_KEYS) ended.merge(key, tally.answers(), AnswerTally::plus)
    }

    /** Returns the own totals, for the digest of this instance. */
    fun ownTallies(): List<VersionTally> =
        own.map { (key, it) ->
            VersionTally(key.rollout, key.route, key.target, it.answers, it.bad, it.latencyMillis, it.unclear)
        }

    /** Returns what is known of [rollout], by route. */
    fun evidence(rollout: Int): ServiceEvidence {
        val sum = HashMap<Int, RouteEvidence>()

        fun add(
            key: Key,
            tally: AnswerTally,
        ) {
            if (key.rollout != rollout) return
            val added = if (key.target) RouteEvidence(target = tally) else RouteEvidence(old = tally)
            sum.merge(key.route, added, RouteEvidence::plus)
        }
        own.forEach(::add)
        ended.forEach(::add)
        for (peer in peers.values) peer.tallies.forEach { add(it.key(), it.answers()) }
        return sum
    }

    private fun VersionTally.key() = Key(rollout, route, target)

    private fun VersionTally.answers() = AnswerTally(answers, bad, latencyMillis, unclear)

    private companion object {
        /** Bounds the digest to about 600 bytes for rollouts. */
        const val MAX_KEYS = 24
    }
}
