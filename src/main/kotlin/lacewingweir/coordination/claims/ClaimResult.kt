package lacewingweir.coordination.claims

/** The result of claiming a call that must not be repeated. */
public sealed interface ClaimResult {
    /** The caller holds the claim and may send the call once. */
    public class Acquired(
        public val claim: Claim,
    ) : ClaimResult

    /** The call is already claimed. [outcome] is its response, or null if that is not known. */
    public data class Existing(
        val outcome: CallOutcome?,
    ) : ClaimResult

    /** The idempotency key is already claimed for a request with another digest. */
    public data object Mismatch : ClaimResult

    /** The claim could not be recorded. It may nevertheless exist if the store's response to the write was lost. */
    public data class Unavailable(
        val reason: String,
    ) : ClaimResult
}
