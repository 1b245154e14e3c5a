/** The latest digest of each peer, with the time since it arrived. */
package lacewingweir.coordination.gossip

import lacewingweir.state.time.MonotonicClock
import java.util.concurrent.ConcurrentHashMap

internal class PeerBoard(
    private val self: String,
    private val clock: MonotonicClock,
) {
    private class Heard(
        val digest: InstanceDigest,
        val atMillis: Long,
    )

    private val heard = ConcurrentHashMap<String, Heard>()

    /** Takes a digest. Returns the one that it replaces if both are of the same run, and whether it is news at all. */
    fun accept(digest: InstanceDigest): Accepted {
        if (digest.instance == self) return Accepted.Stale
        val known = heard[digest.instance]
        val sameRun = known != null && known.digest.run == digest.run
        if (known != null && isOld(digest, known, sameRun)) return Accepted.Stale
        heard[digest.instance] = Heard(digest, clock.nowMillis())
        return Accepted.News(if (sameRun) known.digest else null)
    }

    /** Runs are ordered by wall clocks, which may be stepped, so a lower run counts once the higher one is silent. */
    private fun isOld(
        digest: InstanceDigest,
        known: Heard,
        sameRun: Boolean,
    ): Boolean {
        if (sameRun) return digest.number <= known.digest.number
        return digest.run < known.digest.run && clock.nowMillis() - known.atMillis < BELIEF_MILLIS
    }

    /** Digests that are young enough to believe. */
    fun recent(): List<InstanceDigest> {
        val oldest = clock.nowMillis() - BELIEF_MILLIS
        return heard.values.filter { it.atMillis >= oldest }.map { it.digest }
    }

    /** Names of the peers that are heard. */
    fun heard(): Set<String> = recent().mapTo(HashSet()) { it.instance }

    internal sealed interface Accepted {
        data object Stale : Accepted

        /** [previous] is the digest before it, null for the first one of a run. */
        class News(
            val previous: InstanceDigest?,
        ) : Accepted
    }

    companion object {
        /** Four digest periods: a peer counts as silent once several datagrams in a row are missing. */
        const val BELIEF_MILLIS: Long = 1_000

        /** Period of digests. A flood overshoots its rate by what arrives within it. */
        const val DIGEST_PERIOD_MILLIS: Long = 250
    }
}
