package lacewingweir.state.membership

import kotlinx.serialization.Serializable
import lacewingweir.state.id.InstanceName

/**
 * The membership of one epoch as it stands in the configuration store.
 *
 * Each member owns an equal base share of every customer's rate. [previousMembers] are the members of the epoch
 * before; they must have shrunk or stopped before [phase] becomes active.
 */
@Serializable
public data class EpochDocument(
    val epoch: Long,
    val phase: EpochPhase,
    val previousMembers: List<InstanceName>,
    val members: List<InstanceName>,
)
