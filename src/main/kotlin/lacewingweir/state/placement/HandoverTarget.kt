package lacewingweir.state.placement

import lacewingweir.state.id.EndpointId

/**
 * Chooses where a running answer goes on when its engine is about to stop serving; null if there is no other engine.
 *
 * Load pattern: new weights are named while long answers run. An engine loads only after its last answer has ended, so
 * one long answer keeps the whole engine from reading prompts for seconds, while the other engines' queues grow.
 *
 * Whether there is room is left to the engine: its running answers are few beside the waiting prompts that the loads
 * known here also count. Engines that are [near] the present one get the copy in half the time.
 */
internal fun handoverTarget(
    engines: List<EngineView>,
    near: (EndpointId) -> Boolean,
): EndpointId? = engines.minByOrNull { it.memoryShare + if (near(it.id)) 0.0 else FAR_MEMORY_SHARE }?.id

/** A farther engine is chosen if this much more of its memory is free. */
private const val FAR_MEMORY_SHARE: Double = 0.2
