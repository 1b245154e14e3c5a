package lacewingweir.transport.peer

import lacewingweir.state.id.InstanceName

/**
 * An address that is dialed while no connection to its instance exists. Guarded by the lock of the [DialScheduler].
 *
 * @property isSeed whether the address is configured; such an address is never removed
 * @property name the instance at this address, or `null` if it is unknown, which occurs only for a seed
 * @property nextAttemptMillis when the address can be dialed next
 * @property lastReachedMillis when the address was last known to be reachable, or when it was added
 */
internal class DialTarget(
    val address: HostPort,
    val isSeed: Boolean,
    var name: InstanceName?,
    var nextAttemptMillis: Long,
    var lastReachedMillis: Long,
) {
    /** The number of attempts since the last connection that lasted; determines the backoff. */
    var attemptsSinceStable: Int = 0

    var dialInProgress: Boolean = false
}
