package lacewingweir.coordination.membership

/**
 * Checks whether an instance may confirm an epoch. A lender can reduce its share only once the loans that it granted
 * fit into the new share.
 */
public fun interface ShrinkCheck {
    /** Returns whether the capacity held and the loans granted fit into 1/[divisor] of every rate and burst. */
    public fun hasShrunkTo(divisor: Int): Boolean
}
