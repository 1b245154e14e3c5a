package lacewingweir.coordination.membership

/** Asked before an instance confirms an epoch: a lender can only shrink once its loans fit into the new share. */
public fun interface ShrinkCheck {
    /** Whether own holdings plus loans given fit into one [divisor]-th of every rate and burst. */
    public fun hasShrunkTo(divisor: Int): Boolean
}
