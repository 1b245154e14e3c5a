/**
 * Chooses the engine with the shortest expected time to first token.
 *
 * Assumes that many prompts share long prefixes, that prefill limits throughput, and that engines evict cached parts
 * within seconds. The cost of an engine is the prefill time of its backlog and of the uncached part of the prompt.
 * Rendezvous hashing gives each shared prefix a home engine that all instances agree on without shared state. Prompts
 * with the prefix go there until its backlog costs more than repeating the prefill of the prefix elsewhere.
 */
package lacewingweir.state.placement

import lacewingweir.state.id.EndpointId

/**
 * An engine as seen at the time of a decision.
 *
 * [cachedTokens] of the prompt are known to be cached there, and [copyableTokens] more can be copied from another
 * engine. [backlogTokens] wait for prefill. [penaltyMillis] is the added cost of recent failures and distance.
 * [weightsPenaltyMillis] ranks engines with outdated weights behind others, and is no part of the wait. Requests may
 * begin there for the next [millisToBegin] only, which is infinite unless its weights are outdated. [tokensPerMilli] is
 * the learned prefill speed of this engine, or null if the engines of its service count as equal, and [fast] tells
 * whether it is one of the fast ones otherwise.
 */
internal data class EngineView(
    val id: EndpointId,
    val backlogTokens: Double,
    val running: Double,
    val slots: Int,
    val memoryShare: Double,
    val cachedTokens: Double,
    val copyableTokens: Double,
    val penaltyMillis: Double,
    val weightsPenaltyMillis: Double = 0.0,
    val millisToBegin: Double = Double.POSITIVE_INFINITY,
    val tokensPerMilli: Double? = null,
    val fast: Boolean = false,
)

/**
 * The properties of a prompt that placement depends on: the number of its tokens, the number of tokens in the prefix
 * that other prompts may share, and the hash of that prefix, or null if it is empty. A longer wait than [usableMillis]
 * is of no use.
 */
internal data class PromptQuery(
    val inputTokens: Double,
    val sharedTokens: Double,
    val sharedHash: Long?,
    val usableMillis: Double = Double.POSITIVE_INFINITY,
)

/**
 * The chosen engine, the expected time to first token in milliseconds, and the tokens to prefill there.
 * [notPrefillMillis] of the expected time are for copies and for a slot or memory. [referenceMillis] is the expected
 * time at an engine of the common speed.
 */
internal data class EngineChoice(
    val engine: EndpointId,
    val expectedMillis: Double,
    val uncachedTokens: Double,
    val notPrefillMillis: Double = 0.0,
    val referenceMillis: Double = expectedMillis,
)

/** A choice with its [cost] in milliseconds, and the [speed] of its engine. */
private class RankedChoice(
    val choice: EngineChoice,
    val cost: Double,
    val speed: Double,
)

/**
 * Returns the engine of [engines] with the shortest expected time to first token, with a preference for new weights, or
 * null if the request is expected to begin in time on none of them.
 *
 * [tokensPerMilli] is the prefill speed of engines without a learned one, [copyMillisPerToken] the time to copy a
 * cached token from another engine. [uneven] is null if they count as equally fast. [homes] are the home engines of the
 * shared prefix; if it is null, the prefix has one home among [engines].
 */
internal fun chooseEngine(
    query: PromptQuery,
    engines: List<EngineView>,
    tokensPerMilli: Double,
    copyMillisPerToken: Double,
    uneven: UnevenEngines? = null,
    homes: List<EndpointId>? = null,
): EngineChoice? {
    val homeIds =
        homes ?: listOfNotNull(
            query.sharedHash?.let { hash -> engines.maxByOrNull { rendezvousScore(hash, it.id) }?.id },
        )
    val choices =
        engines.mapNotNull { engine ->
            val assumed = if (engine.id in homeIds) query.sharedTokens * ASSUMED_HOME_CACHED_SHARE else 0.0
            val copied = if (engine.cachedTokens < assumed) 0.0 else engine.copyableTokens
            val uncached = (query.inputTokens - maxOf(engine.cachedTokens, assumed) - copied).coerceAtLeast(0.0)
            val speed = engine.tokensPerMilli ?: tokensPerMilli
            val copyMillis = copied * copyMillisPerToken
            val queueMillis = queueMillis(engine)
            val notPrefillMillis = copyMillis + queueMillis
            val wait = (engine.backlogTokens + uncached) / speed + notPrefillMillis
            val choice =
                EngineChoice(
                    engine = engine.id,
                    expectedMillis = wait + engine.penaltyMillis,
                    uncachedTokens = uncached,
                    notPrefillMillis = notPrefillMillis,
                    referenceMillis = (engine.backlogTokens + uncached) / tokensPerMilli + notPrefillMillis,
                )
            val mismatchMillis = uneven?.mismatchMillis(engine.fast, uncached) ?: 0.0
            val cost = choice.expectedMillis + engine.weightsPenaltyMillis + mismatchMillis
            if (beginsInTime(wait, engine)) RankedChoice(choice, cost, speed) else null
        }
    // An engine with outdated weights is better than none that serves the request in time.
    val usable = choices.filter { it.choice.expectedMillis <= query.usableMillis }.ifEmpty { choices }
    val chosen = if (uneven == null) usable.minByOrNull { it.cost } else uneven.draw(usable, { it.cost }, { it.speed })
    return chosen?.choice
}

private fun beginsInTime(
    waitMillis: Double,
    engine: EngineView,
) = waitMillis * WAIT_SAFETY_FACTOR + SEND_MILLIS <= engine.millisToBegin

private fun queueMillis(engine: EngineView): Double {
    val excessRequests = (engine.running + 1 - engine.slots).coerceAtLeast(0.0)
    val excessMemoryShare = (engine.memoryShare - MEMORY_PRESSURE_THRESHOLD).coerceAtLeast(0.0)
    return excessRequests * MILLIS_PER_QUEUED_REQUEST + excessMemoryShare * MILLIS_PER_MEMORY_SHARE
}

/** Factor by which a wait may exceed its expectation without a request beginning too late. */
private const val WAIT_SAFETY_FACTOR: Double = 1.5

/** Time for sending a request, for the engine's step, and for its first event to arrive. */
private const val SEND_MILLIS: Double = 200.0

/** Least share of the shared prefix that its home engine is assumed to cache. */
private const val ASSUMED_HOME_CACHED_SHARE: Double = 0.8

/** Added wait for each request above an engine's slots: about the time of a generation divided by the slots. */
private const val MILLIS_PER_QUEUED_REQUEST: Double = 20.0

/** Share of an engine's memory above which running requests may be preempted. */
private const val MEMORY_PRESSURE_THRESHOLD: Double = 0.8

/** Added wait per unit of [EngineView.memoryShare] above the threshold; a preempted request repeats its prefill. */
private const val MILLIS_PER_MEMORY_SHARE: Double = 2_000.0
