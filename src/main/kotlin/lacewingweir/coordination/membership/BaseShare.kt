package lacewingweir.coordination.membership

/**
 * The part of every customer's rate and burst that a member owns: one [divisor]-th.
 *
 * While an epoch is pending, [divisor] is the larger of the old and the new number of members. [startsFull] is true
 * only in the first epoch ever, in which nothing can have been spent before.
 */
public data class BaseShare(
    val epoch: Long,
    val divisor: Int,
    val startsFull: Boolean,
)
