package lacewingweir.coordination.claims

/** The exclusive right to send one unrepeatable call. */
public interface Claim {
    /** Stores the answer for repeats of the call. A failure is logged; repeats then see the state as unknown. */
    public suspend fun complete(outcome: CallOutcome)

    /** Frees the claim, so that a repeat may run. Only for a call that certainly was not run. */
    public suspend fun release()
}
