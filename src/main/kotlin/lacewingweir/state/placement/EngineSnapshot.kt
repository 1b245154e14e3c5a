package lacewingweir.state.placement

import lacewingweir.state.id.EndpointId

/**
 * An instance's estimate of one engine at the time of a decision.
 *
 * [runningRequests] counts the requests of all instances. [backlogTokens] are prompt tokens that wait for prefill, and
 * [cachedTokens] are the tokens of this request's prompt that the engine is expected to cache. [hasCapacity] is false
 * if a further request would wait too long there.
 */
public data class EngineSnapshot(
    val id: EndpointId,
    val slots: Int,
    val runningRequests: Double,
    val backlogTokens: Double,
    val cachedTokens: Double,
    val prefillMillisPerToken: Double,
    val hasCapacity: Boolean,
)
