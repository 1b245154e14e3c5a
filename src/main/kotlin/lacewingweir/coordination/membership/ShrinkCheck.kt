package lacewingweir.coordination.membership

/**
 * Checks whether an instance may confirm an epoch. A lender can reduce its share only once the loans that it gave fit
 * into the new share.
 */
public fun interface ShrinkCheck {
    /** Returns whether the capacity held and the loans given fit into 1/[divisor] of every rate and burst. */
    public fun hasShrunkTo(divisor: Int): Boolean
}
