package lacewingweir.transport.peer

import lacewingweir.state.id.InstanceName

/** An address that is dialed while no connection to its instance exists. Guarded by the [AddressBook]. */
internal class DialTarget(
    val address: HostPort,
    val seed: Boolean,
    var name: InstanceName?,
    var nextAttemptMillis: Long,
    var knownSinceMillis: Long,
) {
    var failures: Int = 0
    var dialing: Boolean = false
}
