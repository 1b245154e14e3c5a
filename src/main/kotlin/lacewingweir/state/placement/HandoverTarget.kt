package lacewingweir.state.placement

import lacewingweir.state.id.EndpointId

/**
 * Chooses the engine that continues a running answer when its engine drains, or returns null if [engines] is empty.
 *
 * Without a handover, one long answer keeps an engine from loading new weights and from serving prompts for seconds,
 * while the queues of the other engines grow.
 *
 * No engine is excluded for its known load, because that also counts waiting prompts, which far outnumber running
 * answers. The engine itself decides whether it has capacity. Copying the state of the answer takes half the time
 * if the engine is [near] the current one.
 */
internal fun handoverTarget(
    engines: List<EngineView>,
    near: (EndpointId) -> Boolean,
): EndpointId? = engines.minByOrNull { it.memoryShare + if (near(it.id)) 0.0 else REMOTE_MEMORY_SHARE }?.id

/** A distant engine is preferred only if at least this much more of its memory is free. */
private const val REMOTE_MEMORY_SHARE: Double = 0.2
