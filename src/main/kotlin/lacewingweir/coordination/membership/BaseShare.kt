package lacewingweir.coordination.membership

/**
 * The fraction of every customer's rate and burst that a member owns: 1/[divisor].
 *
 * While an epoch is pending, [divisor] is the larger of the old and the new number of members. [startsFull] tells
 * whether token buckets start full. This is safe only in the first epoch of a fleet, before which no tokens can have
 * been used.
 */
public data class BaseShare(
    val epoch: Long,
    val divisor: Int,
    val startsFull: Boolean,
)
