package lacewingweir.coordination.keys

import lacewingweir.state.id.CustomerId

/** Whether a caller's key is honoured now. */
public sealed interface KeyDecision {
    /** The key belongs to [customer]. */
    public data class Accepted(
        val customer: CustomerId,
    ) : KeyDecision

    /** The key is unknown or withdrawn. */
    public data object Rejected : KeyDecision

    /** The instance can't prove that its key records are fresh, so it honours none. */
    public data class Stale(
        val retryAfterMillis: Long,
    ) : KeyDecision
}
