package lacewingweir.coordination.gossip

import lacewingweir.state.time.MonotonicClock
import java.util.concurrent.ConcurrentHashMap

/** Keeps the latest digest of each peer and the time at which it arrived. */
internal class PeerDigests(
    private val self: String,
    private val clock: MonotonicClock,
) {
    private class Received(
        val digest: InstanceDigest,
        val validUntilMillis: Long,
    )

    private val latest = ConcurrentHashMap<String, Received>()

    /** Records [digest] unless it is stale. Returns whether it was recorded and which digest of its run it replaced. */
    fun accept(digest: InstanceDigest): AcceptResult {
        if (digest.instance == self) return AcceptResult.Stale
        val known = latest[digest.instance]
        val sameRun = known != null && known.digest.run == digest.run
        if (known != null && isStale(digest, known, sameRun)) return AcceptResult.Stale
        latest[digest.instance] = Received(digest, clock.nowMillis() + digest.validityMillis)
        return AcceptResult.Updated(if (sameRun) known.digest else null)
    }

    /**
     * Run numbers come from wall clocks, which may be set back, so a lower run is accepted once the higher run has been
     * silent for the validity of its digest.
     */
    private fun isStale(
        digest: InstanceDigest,
        known: Received,
        sameRun: Boolean,
    ): Boolean {
        if (sameRun) return digest.number <= known.digest.number
        return digest.run < known.digest.run && clock.nowMillis() < known.validUntilMillis
    }

    /** Returns the digests that are still valid. */
    fun validDigests(): List<InstanceDigest> {
        val now = clock.nowMillis()
        return latest.values.filter { it.validUntilMillis >= now }.map { it.digest }
    }

    /** Returns the names of the peers whose digests are still valid. */
    fun names(): Set<String> = validDigests().mapTo(HashSet()) { it.instance }

    internal sealed interface AcceptResult {
        /** The digest comes from this instance, or a later one of the same peer is known. */
        data object Stale : AcceptResult

        /** The digest was recorded. [previous] is the digest before it, or null if it is the first of its run. */
        class Updated(
            val previous: InstanceDigest?,
        ) : AcceptResult
    }
}
