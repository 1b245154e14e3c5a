package lacewingweir.coordination.placement

import lacewingweir.coordination.gossip.PartRead
import lacewingweir.coordination.gossip.PeerBoard
import lacewingweir.state.id.EndpointId
import lacewingweir.state.time.MonotonicClock

/** Shared beginnings that engines have lately read for this instance. Not thread-safe; the owner synchronises. */
internal class RecentPrefills(
    private val clock: MonotonicClock,
) {
    private val reads = ArrayDeque<Pair<Long, PartRead>>()

    fun add(
        engine: EndpointId,
        read: PrefilledParts,
    ) {
        val now = clock.nowMillis()
        // The last part belongs to the request alone.
        for (n in 0 until read.chain.size - 1) {
            reads.addLast(
                now to PartRead(engine.value, read.chain[n], read.sizes[n]),
            )
        }
    }

    /** Reads that peers may not have heard of yet, even if a digest or two were lost. */
    fun recent(): List<PartRead> {
        val oldest = clock.nowMillis() - PeerBoard.BELIEF_MILLIS
        while (reads.isNotEmpty() && reads.first().first < oldest) reads.removeFirst()
        return reads.map { it.second }
    }
}
