package lacewingweir.state.placement

import lacewingweir.state.id.EndpointId

/**
 * What an instance believes of one engine at the time of a decision.
 *
 * [runningRequests] counts own and others' requests, [backlogTokens] prompt tokens that the engine has still to
 * compute, [cachedTokens] how many tokens of this request's prompt it is expected to hold. [hasCapacity] is false if
 * a further request would wait too long there.
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
