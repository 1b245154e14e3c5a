package lacewingweir.coordination.peer

import kotlinx.serialization.Serializable
import lacewingweir.state.id.FailureDomain
import lacewingweir.state.id.Incarnation
import lacewingweir.state.id.InstanceName

/**
 * The identity of an instance and the addresses at which peers and operators reach it.
 *
 * [incarnation] changes with each restart, so that messages of an earlier run are not attributed to the current one.
 */
@Serializable
public data class PeerAddress(
    val name: InstanceName,
    val incarnation: Incarnation,
    val host: String,
    val peerPort: Int,
    val operatorPort: Int,
    val failureDomain: FailureDomain,
)
