/** The latest digest of each peer, with the time since it arrived. */
package lacewingweir.coordination.gossip

import lacewingweir.state.time.MonotonicClock
import java.util.concurrent.ConcurrentHashMap

internal class PeerDigests(
    private val self: String,
    private val clock: MonotonicClock,
) {
    private class Heard(
        val digest: InstanceDigest,
        val atMillis: Long,
    )

    private val latest = ConcurrentHashMap<String, Heard>()

    /** Takes a digest. Returns the one that it replaces if both are of the same run, and whether it is news at all. */
    fun accept(digest: InstanceDigest): AcceptResult {
        if (digest.instance == self) return AcceptResult.Stale
        val known = latest[digest.instance]
        val sameRun = known != null && known.digest.run == digest.run
        if (known != null && isOld(digest, known, sameRun)) return AcceptResult.Stale
        latest[digest.instance] = Heard(digest, clock.nowMillis())
        return AcceptResult.Updated(if (sameRun) known.digest else null)
    }

    /** Runs are ordered by wall clocks, which may be stepped, so a lower run counts once the higher one is silent. */
    private fun isOld(
        digest: InstanceDigest,
        known: Heard,
        sameRun: Boolean,
    ): Boolean {
        if (sameRun) return digest.number <= known.digest.number
        return digest.run < known.digest.run && clock.nowMillis() - known.atMillis < DIGEST_VALIDITY_MILLIS
    }

    /** Digests that are young enough to believe. */
    fun recent(): List<InstanceDigest> {
        val oldest = clock.nowMillis() - DIGEST_VALIDITY_MILLIS
        return latest.values.filter { it.atMillis >= oldest }.map { it.digest }
    }

    /** Names of the peers that are heard. */
    fun names(): Set<String> = recent().mapTo(HashSet()) { it.instance }

    internal sealed interface AcceptResult {
        data object Stale : AcceptResult

        /** [previous] is the digest before it, null for the first one of a run. */
        class Updated(
            val previous: InstanceDigest?,
        ) : AcceptResult
    }

    companion object {
        /** Four digest periods: a peer counts as silent once several datagrams in a row are missing. */
        const val DIGEST_VALIDITY_MILLIS: Long = 1_000

        /** Period of digests. A flood overshoots its rate by what arrives within it. */
        const val DIGEST_PERIOD_MILLIS: Long = 250
    }
}
