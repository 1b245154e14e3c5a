package lacewingweir.coordination.keys

import lacewingweir.state.id.InstanceName

/**
 * Which instances reject a key that was withdrawn through this one. [unconfirmed] lists connected peers that did not
 * answer in time; instances that are not connected are in neither list. [inStore] tells whether the store holds the
 * withdrawal, so that every instance learns it at its next poll.
 */
public data class WithdrawalResult(
    val confirmed: List<InstanceName>,
    val unconfirmed: List<InstanceName>,
    val inStore: Boolean,
)
