package lacewingweir.coordination.membership

import lacewingweir.state.membership.EpochDocument

/**
 * What an instance holds about the epoch.
 *
 * [settled] is false after a start until the store was read or the peers' answers make a vote safe: a predecessor of
 * the same name may have adopted a later epoch. [contradicting] is another document of the same epoch; nothing is
 * owned or acknowledged until a later epoch reconciles both. [storeBehind] is true while the store holds an older
 * epoch than [document].
 */
internal data class MembershipState(
    val document: EpochDocument? = null,
    val adoptedMillis: Long = 0,
    val confirmedEpoch: Long = 0,
    val settled: Boolean = false,
    val superseded: Boolean = false,
    val contradicting: EpochDocument? = null,
    val storeBehind: Boolean = false,
    val absentSinceMillis: Long? = null,
    val removedMillis: Long? = null,
) {
    val epoch: Long get() = document?.epoch ?: 0

    /** Whether heartbeats of the held epoch may be acknowledged. */
    val votes: Boolean get() = settled && !superseded && contradicting == null && document != null
}
