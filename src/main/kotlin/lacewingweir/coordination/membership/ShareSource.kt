package lacewingweir.coordination.membership

/** Gives the base share that this instance owns now. */
public fun interface ShareSource {
    /** The share, or null if the instance is not a member and owns nothing. */
    public fun current(): BaseShare?
}
