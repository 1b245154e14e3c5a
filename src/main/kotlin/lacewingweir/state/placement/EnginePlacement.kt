/**
 * Places a request among engines by expected time to its first token.
 *
 * Load pattern: many prompts share long beginnings, prefill is the scarce resource, and engines forget cached parts
 * within seconds. The cost of an engine is the prefill of what waits there plus what it would have to read of this
 * prompt. All instances agree on a home for each shared beginning by rendezvous hashing, so the same parts meet on the
 * same engine without shared state, until that engine's backlog costs more than reading the part again elsewhere.
 */
package lacewingweir.state.placement

import lacewingweir.state.id.EndpointId

/**
 * One engine at the moment of a decision. [heldTokens] of the prompt are known to be cached there, [fetchableTokens]
 * more at another engine from which they can be copied, [backlogTokens] wait for prefill, [penaltyMillis] is what else
 * speaks against the engine (old weights, recent failures, distance).
 */
internal data class EngineView(
    val id: EndpointId,
    val backlogTokens: Double,
    val running: Double,
    val slots: Int,
    val memoryShare: Double,
    val heldTokens: Double,
    val fetchableTokens: Double,
    val penaltyMillis: Double,
)

/**
 * What placement needs of a prompt: all its tokens, those that others may share, and the hash of the shared beginning.
 */
internal data class PromptQuery(
    val inputTokens: Double,
    val sharedTokens: Double,
    val sharedHash: Long?,
)

/** The chosen engine with the expected milliseconds to the first token and the tokens that it has to read. */
internal data class EngineChoice(
    val engine: EndpointId,
    val expectedMillis: Double,
    val uncachedTokens: Double,
)

/**
 * The engine of [engines] with the least expected time, or null if there is none. [tokensPerMilli] is the prefill
 * speed, [fetchMillisPerToken] the time to copy a cached token from another engine.
 */
internal fun chooseEngine(
    query: PromptQuery,
    engines: List<EngineView>,
    tokensPerMilli: Double,
    fetchMillisPerToken: Double,
): EngineChoice? {
    val home = query.sharedHash?.let { hash -> engines.maxByOrNull { rendezvousScore(hash, it.id) }?.id }
    return engines
        .map { engine ->
            val assumed = if (engine.id == home) query.sharedTokens * HOME_TRUST else 0.0
            val fetched = if (engine.heldTokens < assumed) 0.0 else engine.fetchableTokens
            val missed = (query.inputTokens - maxOf(engine.heldTokens, assumed) - fetched).coerceAtLeast(0.0)
            val prefill = (engine.backlogTokens + missed) / tokensPerMilli + fetched * fetchMillisPerToken
            EngineChoice(engine.id, prefill + queueMillis(engine) + engine.penaltyMillis, missed)
        }.minByOrNull { it.expectedMillis }
}

private fun queueMillis(engine: EngineView): Double {
    val overSlots = (engine.running + 1 - engine.slots).coerceAtLeast(0.0)
    val overMemory = (engine.memoryShare - MEMORY_COMFORT).coerceAtLeast(0.0)
    return overSlots * MILLIS_PER_QUEUED + overMemory * MILLIS_PER_FULL_MEMORY
}

/** Share of the shared beginning that its home engine is assumed to hold when nothing is known. */
private const val HOME_TRUST: Double = 0.8

/** Wait for each request above an engine's slots, about the time a generation takes divided by the slots. */
private const val MILLIS_PER_QUEUED: Double = 20.0

/** Share of an engine's memory above which running requests risk preemption. */
private const val MEMORY_COMFORT: Double = 0.8

/** Cost of the whole range above the comfortable share: a preempted request is read again. */
private const val MILLIS_PER_FULL_MEMORY: Double = 2_000.0
