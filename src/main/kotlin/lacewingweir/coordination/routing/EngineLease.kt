package lacewingweir.coordination.routing

import lacewingweir.state.bundle.Endpoint
import lacewingweir.state.id.Incarnation

/** The right to send one attempt to [endpoint]. The holder must call [finish] exactly once. */
public interface EngineLease {
    /** The engine that the attempt is sent to. */
    public val endpoint: Endpoint

    /**
     * The timeout for the first token in milliseconds, counted from the grant.
     *
     * It is derived from the time that the scheduler expects. An attempt that exceeds it counts as failed.
     */
    public val firstTokenTimeoutMillis: Long

    /**
     * Reports the head of the engine's response.
     *
     * A changed [incarnation] means that the engine has restarted, and discards what was known about its cache.
     */
    public fun responseHead(
        incarnation: Incarnation,
        load: EngineLoad?,
        leaving: Boolean,
    )

    /**
     * Reports the first token of the response. [cachedTokens] is the number of prompt tokens that came from the
     * engine's cache, or null if the engine hasn't reported it yet.
     */
    public fun firstToken(cachedTokens: Long?)

    /**
     * Ends the attempt and frees its slot. [cachedTokens] is the number of cached prompt tokens from the engine's usage
     * report, or null if there was none.
     */
    public fun finish(
        outcome: AttemptOutcome,
        cachedTokens: Long? = null,
    )
}
