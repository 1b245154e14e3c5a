package lacewingweir.state.membership

import lacewingweir.state.id.Incarnation
import lacewingweir.state.id.InstanceName

/**
 * What an instance last said about itself, and when it was heard.
 *
 * [confirmedSinceMillis] is when this incarnation was first heard to have confirmed [epoch], or null if it hasn't.
 */
public data class MemberReport(
    val name: InstanceName,
    val incarnation: Incarnation,
    val epoch: Long,
    val confirmedEpoch: Long,
    val ready: Boolean,
    val heardMillis: Long,
    val confirmedSinceMillis: Long?,
) {
    public companion object {
        /** The report that follows [former], keeping the time of the confirmation if it is of the same run. */
        public fun following(
            former: MemberReport?,
            name: InstanceName,
            incarnation: Incarnation,
            epoch: Long,
            confirmedEpoch: Long,
            ready: Boolean,
            heardMillis: Long,
        ): MemberReport {
            val sameRun = former != null && former.incarnation == incarnation && former.epoch == epoch
            val since =
                when {
                    confirmedEpoch != epoch -> null
                    sameRun && former.confirmedSinceMillis != null -> former.confirmedSinceMillis
                    else -> heardMillis
                }
            return MemberReport(name, incarnation, epoch, confirmedEpoch, ready, heardMillis, since)
        }
    }
}
