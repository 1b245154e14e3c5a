/**
 * Chooses the instances that remember where a stream began, besides the one that has it.
 *
 * They are chosen by rendezvous hashing, so that the work is spread evenly, and in different failure domains as far as
 * there are enough.
 */
package lacewingweir.state.stream

import lacewingweir.state.fleet.PeerEntry
import lacewingweir.state.id.RequestId
import java.util.SplittableRandom

/** Returns up to [count] of [peers] that remember where the stream begun by [call] began. */
internal fun factHolders(
    call: RequestId,
    peers: Collection<PeerEntry>,
    count: Int,
): List<PeerEntry> {
    val ranked = peers.sortedByDescending { score(call, it.name) }
    val firstOfDomains = ranked.distinctBy { it.domain }
    return (firstOfDomains + (ranked - firstOfDomains.toSet())).take(count)
}

/**
 * Returns those of [instances] that write to the store where streams began. They are few, so that each write has many
 * streams, and in different failure domains as far as there are enough.
 */
internal fun factWriters(instances: Collection<PeerEntry>): List<PeerEntry> {
    val byName = instances.sortedBy { it.name }
    val firstOfDomains = byName.distinctBy { it.domain }
    val count = maxOf(MIN_WRITERS, instances.size / INSTANCES_PER_WRITER)
    return (firstOfDomains + (byName - firstOfDomains.toSet())).take(count)
}

/** One of them may be slow or have ended. */
private const val MIN_WRITERS: Int = 2

/** Bounds the datagrams that a writer receives in a large fleet to those of this many instances, twice. */
private const val INSTANCES_PER_WRITER: Int = 16

private fun score(
    call: RequestId,
    instance: String,
): Long = SplittableRandom(call.value.hashCode() * HASH_MULTIPLIER xor instance.hashCode().toLong()).nextLong()

/** Odd constant derived from the golden ratio that spreads 32-bit hashes over 64 bits. */
private const val HASH_MULTIPLIER: Long = -0x61c8864680b583ebL
