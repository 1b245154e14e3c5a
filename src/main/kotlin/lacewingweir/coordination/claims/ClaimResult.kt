package lacewingweir.coordination.claims

/** Outcome of claiming an unrepeatable call. */
public sealed interface ClaimResult {
    /** The call is new and may be sent once. */
    public class Acquired(
        public val claim: Claim,
    ) : ClaimResult

    /** The call was claimed before. [outcome] is null while its answer is not known. */
    public data class Existing(
        val outcome: CallOutcome?,
    ) : ClaimResult

    /** The idempotency key was used before with another request body. */
    public data object Mismatch : ClaimResult

    /** The store can't record the claim now, and none was recorded by this call as far as can be told. */
    public data class Unavailable(
        val reason: String,
    ) : ClaimResult
}
