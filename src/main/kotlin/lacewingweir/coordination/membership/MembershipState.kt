package lacewingweir.coordination.membership

import lacewingweir.state.membership.EpochDocument

/**
 * The state of the membership epoch as one instance knows it.
 *
 * @property document the adopted epoch document, adopted at [adoptedAtMillis]
 * @property confirmedEpoch the latest epoch to whose shares this instance has reduced its own
 * @property epochVerified whether this run may vote; false after a start until the store was read or the reports of the
 * peers make a vote safe, because an earlier run of the same name may have adopted a later epoch
 * @property superseded whether a later run of the same name has registered
 * @property contradicting another document of the same epoch; while it is set, the instance owns no share and
 * acknowledges no heartbeats, until a later epoch reconciles both documents
 * @property storeBehind whether the store holds an older epoch than [document], or none
 * @property epochAbsentSinceMillis time at which this run first read that the store holds no epoch, or null
 * @property removedAtMillis time at which this instance last adopted an epoch that removed it, or null
 */
internal data class MembershipState(
    val document: EpochDocument? = null,
    val adoptedAtMillis: Long = 0,
    val confirmedEpoch: Long = 0,
    val epochVerified: Boolean = false,
    val superseded: Boolean = false,
    val contradicting: EpochDocument? = null,
    val storeBehind: Boolean = false,
    val epochAbsentSinceMillis: Long? = null,
    val removedAtMillis: Long? = null,
) {
    val epoch: Long get() = document?.epoch ?: 0

    /** Whether this instance may acknowledge heartbeats of its epoch. */
    val canVote: Boolean get() = epochVerified && !superseded && contradicting == null && document != null
}
