package lacewingweir.state.membership

import lacewingweir.state.id.Incarnation
import lacewingweir.state.id.InstanceName

/**
 * The latest state that an instance reported about itself, received at [receivedAtMillis].
 *
 * [confirmedSinceMillis] is the time at which this incarnation was first known to have confirmed [epoch], or null if it
 * hasn't confirmed it.
 */
public data class MemberReport(
    val name: InstanceName,
    val incarnation: Incarnation,
    val epoch: Long,
    val confirmedEpoch: Long,
    val ready: Boolean,
    val receivedAtMillis: Long,
    val confirmedSinceMillis: Long?,
) {
    public companion object {
        /**
         * Returns the report that replaces [previous]. Keeps the time of the confirmation if both are of the same
         * incarnation and epoch.
         */
        public fun successorOf(
            previous: MemberReport?,
            name: InstanceName,
            incarnation: Incarnation,
            epoch: Long,
            confirmedEpoch: Long,
            ready: Boolean,
            receivedAtMillis: Long,
        ): MemberReport {
            val sameRunAndEpoch = previous != null && previous.incarnation == incarnation && previous.epoch == epoch
            val since =
                when {
                    confirmedEpoch != epoch -> null
                    sameRunAndEpoch && previous.confirmedSinceMillis != null -> previous.confirmedSinceMillis
                    else -> receivedAtMillis
                }
            return MemberReport(name, incarnation, epoch, confirmedEpoch, ready, receivedAtMillis, since)
        }
    }
}
