package lacewingweir.coordination.keys

import lacewingweir.state.id.InstanceName

/**
 * The result of withdrawing a key through this instance.
 *
 * [confirmed] lists the instances known to hold the withdrawal, including this one. [unconfirmed] lists connected
 * peers that did not confirm in time. Instances that are not connected are in neither list. [inStore] is true if the
 * store holds the withdrawal, in which case every instance learns of it at its next successful poll.
 */
public data class WithdrawalResult(
    val confirmed: List<InstanceName>,
    val unconfirmed: List<InstanceName>,
    val inStore: Boolean,
)
