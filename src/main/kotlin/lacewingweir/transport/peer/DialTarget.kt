package lacewingweir.transport.peer

import lacewingweir.state.id.InstanceName

/** An address that is dialed while no connection to its instance exists. Guarded by the [DialScheduler]. */
internal class DialTarget(
    val address: HostPort,
    val isSeed: Boolean,
    var name: InstanceName?,
    var nextAttemptMillis: Long,
    var lastReachedMillis: Long,
) {
    var attemptsSinceStable: Int = 0
    var dialInProgress: Boolean = false
}
