package lacewingweir.state.membership

import kotlinx.serialization.Serializable
import lacewingweir.state.id.InstanceName

/**
 * The membership of one epoch, as stored in the configuration store.
 *
 * Each member owns an equal base share of every customer's rate. [previousMembers] are the members of the preceding
 * epoch. Each of them must have reduced its share or stopped before [phase] becomes active.
 */
@Serializable
public data class EpochDocument(
    val epoch: Long,
    val phase: EpochPhase,
    val previousMembers: List<InstanceName>,
    val members: List<InstanceName>,
)

/** Returns whether this document supersedes [other]: it has a higher epoch, or is the activation of the same epoch. */
public fun EpochDocument.isNewerThan(other: EpochDocument?): Boolean =
    other == null || epoch > other.epoch || (epoch == other.epoch && phase > other.phase)

/**
 * Returns whether both documents have the same epoch but different members. This can happen after the store was
 * restored from an older copy, because epoch numbers assigned after the copy was made are then assigned again.
 */
public fun EpochDocument.contradicts(other: EpochDocument): Boolean =
    epoch == other.epoch && (members != other.members || previousMembers != other.previousMembers)

/**
 * Returns the divisor of the base share that [name] owns, or null if it owns no share.
 *
 * In a pending epoch an instance owns the smaller of its old and its new share. An instance that joins or leaves
 * therefore owns no share until the epoch is active.
 */
public fun EpochDocument.shareDivisor(name: InstanceName): Int? =
    when {
        name !in members -> null
        phase == EpochPhase.ACTIVE -> members.size
        name in previousMembers -> maxOf(previousMembers.size, members.size)
        else -> null
    }

/**
 * Returns the divisor of the share to which [name] must be reduced before it confirms the epoch. [Int.MAX_VALUE] means
 * that it must own no share.
 */
public fun EpochDocument.confirmationDivisor(name: InstanceName): Int = shareDivisor(name) ?: Int.MAX_VALUE
