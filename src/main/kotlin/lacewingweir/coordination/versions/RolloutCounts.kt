package lacewingweir.coordination.versions

import lacewingweir.coordination.gossip.InstanceDigest
import lacewingweir.coordination.gossip.VersionTally
import lacewingweir.state.versions.AnswerTally
import lacewingweir.state.versions.RouteEvidence
import lacewingweir.state.versions.ServiceEvidence

/**
 * Counts answers by rollout, route and version: own ones, and those of peers as their digests report them.
 *
 * Counts of peers that have ended or restarted are kept. Only rollouts that run are counted. A bounded number of routes
 * is counted apart, and the others of a rollout together, so that no answer of a target is left out. Both versions'
 * answers on a route are counted in the same place, so that like is compared with like.
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

    /** Totals by key, of a bounded number of routes. */
    private class Totals {
        val byKey = HashMap<Key, AnswerTally>()
        private val routes = HashSet<Pair<Int, Int>>()

        fun add(
            key: Key,
            tally: AnswerTally,
        ) {
            val route = key.rollout to key.route
            val isApart = key.route == OTHER_ROUTES || route in routes || routes.size < MAX_ROUTES
            if (isApart && key.route != OTHER_ROUTES) routes += route
            byKey.merge(if (isApart) key else key.copy(route = OTHER_ROUTES), tally, AnswerTally::plus)
        }

        fun retain(rollouts: Set<Int>) {
            byKey.keys.removeIf { it.rollout !in rollouts }
            routes.removeIf { it.first !in rollouts }
        }
    }

    private val own = Totals()
    private val ended = Totals()
    private val peers = HashMap<String, PeerTotals>()

    fun retain(rollouts: Set<Int>) {
        own.retain(rollouts)
        ended.retain(rollouts)
        peers.values.removeIf { totals -> totals.tallies.none { it.rollout in rollouts } }
    }

    fun add(
        rollout: Int,
        route: Int,
        target: Boolean,
        answer: AnswerTally,
    ) = own.add(Key(rollout, route, target), answer)

    fun onDigest(digest: InstanceDigest) {
        val known = peers[digest.instance]
        if (known == null && digest.versions.isEmpty()) return
        if (known != null && known.run != digest.run) known.tallies.forEach { ended.add(it.key(), it.answers()) }
        peers[digest.instance] = PeerTotals(digest.run, bounded(digest.versions))
    }

    /** Returns the own totals, for the digest of this instance. */
    fun ownTallies(): List<VersionTally> =
        bounded(
            own.byKey.map { (key, it) ->
                VersionTally(key.rollout, key.route, key.target, it.answers, it.bad, it.latencyMillis, it.unclear)
            },
        )

    /** With so many rollouts at once that not all entries fit in, those of old versions are left out. */
    private fun bounded(tallies: List<VersionTally>) =
        if (tallies.size <= MAX_ENTRIES) tallies else tallies.sortedByDescending { it.target }.take(MAX_ENTRIES)

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
        own.byKey.forEach(::add)
        ended.byKey.forEach(::add)
        for (peer in peers.values) peer.tallies.forEach { add(it.key(), it.answers()) }
        return sum
    }

    private fun VersionTally.key() = Key(rollout, route, target)

    private fun VersionTally.answers() = AnswerTally(answers, bad, latencyMillis, unclear)

    private companion object {
        /** Stands for all routes that aren't counted apart. */
        const val OTHER_ROUTES = 0

        /** Routes of all rollouts that are counted apart, each with an entry for either version. */
        const val MAX_ROUTES = 12

        /** Bounds the digest to about 900 bytes for rollouts: the routes counted apart, and others of six rollouts. */
        const val MAX_ENTRIES = 36
    }
}
