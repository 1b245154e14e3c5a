package lacewingweir.coordination.membership

/** Age of the last proof that the instance is neither cut off nor overtaken; see section 5.2 of the design. */
public fun interface ContactProof {
    /** Age of the newest proof in milliseconds of the monotonic clock; [Long.MAX_VALUE] if there was none. */
    public fun ageMillis(): Long
}
