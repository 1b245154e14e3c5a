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

/** Whether this document replaces [other]: a higher epoch, or the activation of the same one. */
public fun EpochDocument.isNewerThan(other: EpochDocument?): Boolean =
    other == null || epoch > other.epoch || (epoch == other.epoch && phase > other.phase)

/**
 * Whether both documents claim the same epoch for different members. A store restored from an older copy can lead to
 * this, because the numbers after the copy are given again.
 */
public fun EpochDocument.contradicts(other: EpochDocument): Boolean =
    epoch == other.epoch && (members != other.members || previousMembers != other.previousMembers)

/**
 * The divisor of the base share that [name] owns, or null if it owns nothing.
 *
 * In a pending epoch this is the smaller of the old and the new share, which is nothing for those who join or leave.
 */
public fun EpochDocument.ownedDivisor(name: InstanceName): Int? =
    when {
        name !in members -> null
        phase == EpochPhase.ACTIVE -> members.size
        name in previousMembers -> maxOf(previousMembers.size, members.size)
        else -> null
    }

/** The divisor to which [name] must have shrunk before it confirms; [Int.MAX_VALUE] stands for a share of nothing. */
public fun EpochDocument.divisorToConfirm(name: InstanceName): Int = ownedDivisor(name) ?: Int.MAX_VALUE
