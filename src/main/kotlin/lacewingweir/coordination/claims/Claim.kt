package lacewingweir.coordination.claims

/** The exclusive right to send one call on a route that is not repeatable. */
public interface Claim {
    /**
     * Stores [outcome] as the response for repeats of the call. If it can't be stored, the failure is logged, and
     * repeats find the claim without an outcome.
     */
    public suspend fun complete(outcome: CallOutcome)

    /** Releases the claim, so that a repeat may run. Must only be called if the call is known not to have run. */
    public suspend fun release()
}
