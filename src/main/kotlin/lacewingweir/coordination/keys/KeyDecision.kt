package lacewingweir.coordination.keys

import lacewingweir.state.id.CustomerId

/** The result of authenticating a caller key. */
public sealed interface KeyDecision {
    /** The key is valid and belongs to [customer]. */
    public data class Accepted(
        val customer: CustomerId,
    ) : KeyDecision

    /** The key is unknown or withdrawn. */
    public data object Rejected : KeyDecision

    /** The instance can't prove that its key records are fresh, so it accepts no key. */
    public data class Stale(
        val retryAfterMillis: Long,
    ) : KeyDecision
}
