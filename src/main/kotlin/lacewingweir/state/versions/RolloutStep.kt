/** The current step of the rollout of a software version, as the lease holder decided it. */
package lacewingweir.state.versions

import lacewingweir.state.id.ServiceName
import lacewingweir.state.id.SoftwareVersion

/**
 * The phases of a rollout in their order. [share] is the share of calls of the service that the target version gets, or
 * null if it follows from the settings.
 */
internal enum class RolloutPhase(
    val share: Double?,
) {
    /** The first share, which keeps the exposure within its bound even if all answers are bad. */
    CANARY(null),
    QUARTER(0.25),
    HALF(0.5),

    /** The target gets all calls that its endpoints accept, and old endpoints the rest. */
    FULL(1.0),

    /** Old endpoints get no new calls, and their running calls end. */
    DRAIN(1.0),
    COMPLETED(1.0),
    ROLLED_BACK(0.0),
    ;

    val isFinal: Boolean
        get() = this == COMPLETED || this == ROLLED_BACK
}

/** Identifies an order of a service. A revision alone doesn't, since a restored store assigns revisions again. */
internal data class OrderId(
    val revision: Long,
    val target: SoftwareVersion,
    val durationMillis: Long,
)

/**
 * The step of a rollout of [target] on [service].
 *
 * @property orderRevision the revision of the order's item without the store's era, which is zero if it is unknown
 * @property old the versions that served before the order, other than [target]
 * @property startUnixMillis when the order became known
 * @property phaseUnixMillis when [phase] began
 * @property shareThousandths the share of calls for the target, in thousandths
 * @property superseded the latest orders of the service that this one has replaced
 */
internal data class RolloutStep(
    val service: ServiceName,
    val target: SoftwareVersion,
    val orderRevision: Long,
    val old: Set<SoftwareVersion>,
    val startUnixMillis: Long,
    val deadlineUnixMillis: Long,
    val phase: RolloutPhase,
    val phaseUnixMillis: Long,
    val shareThousandths: Int,
    val superseded: List<OrderId> = emptyList(),
) {
    val share: Double
        get() = shareThousandths / THOUSANDTHS

    val durationMillis: Long
        get() = deadlineUnixMillis - startUnixMillis

    /** Identifies the rollout in messages between instances. */
    val tag: Int
        get() = "$service|$target|$orderRevision".hashCode()

    /** Returns whether both steps belong to the same order. */
    fun isSameRollout(other: RolloutStep): Boolean =
        service == other.service && target == other.target && orderRevision == other.orderRevision

    val order: OrderId
        get() = OrderId(orderRevision, target, durationMillis)

    /** Whether [earlier] is an order that this one has replaced, which an older copy of the store may bring back. */
    fun supersedes(earlier: OrderId): Boolean = earlier in superseded && earlier != order

    /** Returns the orders that a new order of the service replaces. */
    fun supersededByNext(): List<OrderId> = (superseded - order + order).takeLast(MAX_SUPERSEDED)

    /** Returns the step in [next] phase that begins at [unixMillis]. */
    fun advance(
        next: RolloutPhase,
        unixMillis: Long,
    ): RolloutStep =
        copy(
            phase = next,
            phaseUnixMillis = unixMillis,
            shareThousandths = next.share?.let { (it * THOUSANDTHS).toInt() } ?: shareThousandths,
        )

    private companion object {
        const val THOUSANDTHS = 1_000.0

        /** More orders of a service than are written within the age of a copy of the store. */
        const val MAX_SUPERSEDED = 16
    }
}

/** Whether an endpoint of [version] may get a call while this step is in force. */
internal fun RolloutStep.mayServe(
    version: SoftwareVersion?,
    continuesStream: Boolean,
    targetDue: Boolean,
): Boolean {
    val isOld = version == null || version in old
    return when (phase) {
        RolloutPhase.ROLLED_BACK -> isOld
        RolloutPhase.COMPLETED -> version == target || version == null
        RolloutPhase.DRAIN -> version == target || (isOld && continuesStream)
        else -> isOld || (version == target && (continuesStream || targetDue))
    }
}
