package lacewingweir.coordination.placement

import lacewingweir.coordination.gossip.PeerDigests
import lacewingweir.coordination.gossip.PrefixRead
import lacewingweir.state.id.EndpointId
import lacewingweir.state.time.MonotonicClock

/** Shared beginnings that engines have lately read for this instance. Not thread-safe; the owner synchronises. */
internal class RecentReads(
    private val clock: MonotonicClock,
) {
    private val reads = ArrayDeque<Pair<Long, PrefixRead>>()

    fun add(
        engine: EndpointId,
        read: ReadParts,
    ) {
        val now = clock.nowMillis()
        // The last part belongs to the request alone.
        for (n in 0 until read.chain.size - 1) {
            reads.addLast(
                now to PrefixRead(engine.value, read.chain[n], read.sizes[n]),
            )
        }
    }

    /** Reads that peers may not have heard of yet, even if a digest or two were lost. */
    fun recent(): List<PrefixRead> {
        val oldest = clock.nowMillis() - PeerDigests.DIGEST_VALIDITY_MILLIS
        while (reads.isNotEmpty() && reads.first().first < oldest) reads.removeFirst()
        return reads.map { it.second }
    }
}
