package lacewingweir.coordination.membership

/** Supplies the base share that this instance owns. */
public fun interface ShareSource {
    /** Returns the share that this instance owns now, or null if it owns none. */
    public fun current(): BaseShare?
}
