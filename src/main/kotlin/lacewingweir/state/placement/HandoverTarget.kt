package lacewingweir.state.placement

import lacewingweir.state.id.EndpointId

/**
 * Chooses the engine that continues a running answer when its engine drains, or returns null if [engines] is empty.
 *
 * Without a handover, one long answer keeps an engine from loading new weights and from serving prompts for seconds,
 * while the queues of the other engines grow.
 *
 * The load known here is no reason to exclude an engine, since it also counts waiting prompts, which far outnumber
 * running answers. The engine itself decides whether it has room. Copying the answer's state takes half the time if the
 * engine is [near] the present one.
 */
internal fun handoverTarget(
    engines: List<EngineView>,
    near: (EndpointId) -> Boolean,
): EndpointId? = engines.minByOrNull { it.memoryShare + if (near(it.id)) 0.0 else REMOTE_MEMORY_SHARE }?.id

/** A distant engine is preferred only if at least this much more of its memory is free. */
private const val REMOTE_MEMORY_SHARE: Double = 0.2
