package lacewingweir.coordination.routing

import lacewingweir.state.bundle.Endpoint
import lacewingweir.state.id.Incarnation

/** The right to send one attempt to [endpoint]. Exactly one call of [finish] ends it. */
public interface EngineLease {
    /** Where the attempt goes. */
    public val endpoint: Endpoint

    /**
     * Time from the grant within which the first token must arrive, in milliseconds. It follows from the time that the
     * scheduler expects; an attempt that exceeds it counts as failed.
     */
    public val firstTokenTimeoutMillis: Long

    /** Reports the head of the engine's answer. A changed [incarnation] drops what was known of the engine's cache. */
    public fun responseHead(
        incarnation: Incarnation,
        load: EngineLoad?,
        leaving: Boolean,
    )

    /** Reports the first token, [cachedTokens] of the prompt having come from the engine's cache if that is known. */
    public fun firstToken(cachedTokens: Long?)

    /** Ends the attempt. [cachedTokens] is what the engine's usage report said, null without one. */
    public fun finish(
        outcome: AttemptOutcome,
        cachedTokens: Long? = null,
    )
}
