package lacewingweir.coordination.peer

import kotlinx.serialization.Serializable
import lacewingweir.state.id.FailureDomain
import lacewingweir.state.id.Incarnation
import lacewingweir.state.id.InstanceName

/**
 * An entry instance and where its peers and operators reach it.
 *
 * [incarnation] differs after each restart, so that a message of an earlier run is not taken for one of the present.
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
