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

private fun score(
    call: RequestId,
    instance: String,
): Long = SplittableRandom(call.value.hashCode() * HASH_MULTIPLIER xor instance.hashCode().toLong()).nextLong()

/** Odd constant derived from the golden ratio that spreads 32-bit hashes over 64 bits. */
private const val HASH_MULTIPLIER: Long = -0x61c8864680b583ebL
