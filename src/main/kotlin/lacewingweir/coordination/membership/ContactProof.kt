package lacewingweir.coordination.membership

/**
 * The age of the latest proof that this instance is neither partitioned from the fleet nor replaced by a later run.
 *
 * An instance may use and lend its share only while the proof is recent, because a partitioned instance can miss an
 * epoch that gives its share to others.
 */
public fun interface ContactProof {
    /** Returns the age of the latest proof in monotonic milliseconds, or [Long.MAX_VALUE] if there is none. */
    public fun ageMillis(): Long
}
