/**
 * Chooses engines for prompts, using the load and cache contents known to this instance and its peers.
 *
 * Not thread-safe; [EndpointTracker] synchronizes.
 */
package lacewingweir.coordination.placement

import lacewingweir.coordination.fleet.WeightsTarget
import lacewingweir.state.fleet.EndpointEntry
import lacewingweir.state.fleet.EngineSpec
import lacewingweir.state.fleet.Prompt
import lacewingweir.state.id.FailureDomain
import lacewingweir.state.id.ModelName
import lacewingweir.state.id.ServiceName
import lacewingweir.state.id.WeightsNumber
import lacewingweir.state.placement.EndpointSpeeds
import lacewingweir.state.placement.EngineView
import lacewingweir.state.placement.PromptQuery
import lacewingweir.state.placement.UnevenEngines
import lacewingweir.state.placement.chooseEngine
import lacewingweir.state.placement.handoverTarget
import lacewingweir.state.time.MonotonicClock
import kotlin.random.Random

/**
 * A chosen endpoint and the load to reserve there: [uncachedTokens] wait for prefill, and [memoryTokens] of KV cache
 * memory are used. [cacheSource] is the engine from which it should copy the cached prompt parts that it lacks.
 * [model] is null for requests without a prompt.
 *
 * The time to the first event is expected to contain [notPrefillMillis] for other things than prefill. [callsPerSlot]
 * of a request without a prompt is the number of calls that share a slot with it, itself included.
 */
internal class EndpointChoice(
    val state: EndpointState,
    val uncachedTokens: Double = 0.0,
    val memoryTokens: Long = 0,
    val prefilled: PrefilledParts? = null,
    val expectedMillis: Double = 0.0,
    val prefillSpeed: PrefillSpeed? = null,
    val cacheIsolation: String? = null,
    val cacheSource: EndpointEntry? = null,
    val model: ModelName? = null,
    val notPrefillMillis: Double = 0.0,
    val callsPerSlot: Double = 0.0,
)

/** [learnedSpeeds] is null if endpoints always count as equally fast. */
internal class EngineChooser(
    private val clock: MonotonicClock,
    private val domain: FailureDomain,
    private val weightsAgePolicy: WeightsAgePolicy,
    private val peerLoads: PeerLoads,
    private val random: Random,
    private val learnedSpeeds: LearnedSpeeds? = null,
) {
    private val speeds = HashMap<ServiceName, PrefillSpeed>()

    /** Chooses an engine for a prompt. Returns null if none of [candidates] accepts it now and begins it in time. */
    fun choose(
        request: PlacementRequest,
        prompt: Prompt,
        candidates: List<EndpointState>,
        spec: EngineSpec?,
        target: WeightsTarget?,
    ): EndpointChoice? {
        val now = clock.nowMillis()
        val usable = candidates.filter { it.acceptsPrompts(now) && weightsAgePolicy.isAllowed(it.weights(), target) }
        if (usable.isEmpty()) return null
        val partTokens = IntArray(prompt.parts.size) { prompt.parts[it].tokens }
        val prefixHashes =
            usable
                .map { it.weights() }
                .distinct()
                .associateWith { prompt.prefixHashes(cacheSalt(it, request.cacheIsolation)) }
        val cached = usable.associateWith { it.prefixes.cachedTokens(prefixHashes.getValue(it.weights()), partTokens) }
        val sources = CacheSources(cached, MIN_COPY_TOKENS)
        val uneven = learnedSpeeds?.unevenSpeeds(request.service)
        val views =
            usable.map {
                val cachedAtSource = sources.sourceFor(it)?.let(cached::getValue) ?: 0.0
                val penalty = weightsAgePolicy.penaltyMillis(it.weights(), target, prompt.longAnswer)
                val toBegin = weightsAgePolicy.remainingMillis(it.weights(), target)?.toDouble()
                view(it, spec, penalty, toBegin ?: Double.POSITIVE_INFINITY, uneven)
                    .copy(
                        cachedTokens = cached.getValue(it),
                        copyableTokens = (cachedAtSource - cached.getValue(it)).coerceAtLeast(0.0),
                    )
            }
        val speed = speeds.getOrPut(request.service) { PrefillSpeed() }
        val copyMillisPerToken = spec?.transferMillisPerToken ?: Double.MAX_VALUE
        val query = query(request, prompt, partTokens)
        val unevenEngines = uneven?.let { UnevenEngines(random, spreadMillis(), it.sizeSplit) }
        val choice = chooseEngine(query, views, speed.tokensPerMilli, copyMillisPerToken, unevenEngines) ?: return null
        val state = usable.first { it.entry.id == choice.engine }
        return EndpointChoice(
            state = state,
            uncachedTokens = choice.uncachedTokens,
            memoryTokens = prompt.inputTokens + prompt.maxOutputTokens,
            prefilled = PrefilledParts(prefixHashes.getValue(state.weights()), partTokens),
            expectedMillis = choice.expectedMillis,
            prefillSpeed = speed,
            cacheIsolation = request.cacheIsolation,
            cacheSource =
                sources
                    .sourceFor(state)
                    ?.takeIf { cached.getValue(it) > cached.getValue(state) }
                    ?.entry,
            model = prompt.model,
            notPrefillMillis = choice.notPrefillMillis,
        )
    }

    /** Chooses one of [candidates] to continue a request whose engine hands it over, or returns null. */
    fun chooseHandoverTarget(
        from: EndpointReservation,
        candidates: List<EndpointState>,
        spec: EngineSpec,
    ): EndpointState? {
        val now = clock.nowMillis()
        val usable =
            candidates
                .filter { !it.isDraining(now) && !it.health.isEjected(now) && it.weights() == from.weights }
                .filter { hasSameSoftware(it.entry, from.endpoint) }
                .associateBy { it.entry.id }
        val views = usable.values.map { view(it, spec, weightsPenaltyMillis = 0.0) }
        return handoverTarget(views) { usable.getValue(it).entry.domain == from.endpoint.domain }?.let(usable::getValue)
    }

    private fun query(
        request: PlacementRequest,
        prompt: Prompt,
        partTokens: IntArray,
    ): PromptQuery {
        val shared = prompt.parts.size - 1
        return PromptQuery(
            inputTokens = prompt.inputTokens.toDouble(),
            sharedTokens = partTokens.take(shared.coerceAtLeast(0)).sum().toDouble(),
            // Hashed without the weights, so that a prompt keeps its home engine when new weights are loaded.
            usableMillis = request.usableMillis,
            sharedHash = if (shared > 0) prompt.prefixHashes(request.cacheIsolation.orEmpty())[shared - 1] else null,
        )
    }

    /** What engines of different software versions write doesn't fit together. */
    private fun hasSameSoftware(
        first: EndpointEntry,
        second: EndpointEntry,
    ) = first.software != null && first.software == second.software

    private fun view(
        state: EndpointState,
        spec: EngineSpec?,
        weightsPenaltyMillis: Double,
        millisToBegin: Double = Double.POSITIVE_INFINITY,
        uneven: EndpointSpeeds? = null,
    ): EngineView {
        val tag = state.entry.tag
        val learned = uneven?.speed(tag)
        val speed = learned ?: speeds[state.entry.service]?.tokensPerMilli ?: PrefillSpeed.INITIAL_TOKENS_PER_MILLI
        val memory = spec?.memoryTokens ?: 0
        val usedMemory = state.memoryTokens + peerLoads.memoryTokens(tag)
        val domainPenalty = if (state.entry.domain == domain) 0.0 else REMOTE_DOMAIN_MILLIS
        val recoveryPenalty = (1.0 - state.health.slotShare(clock.nowMillis())) * RECOVERING_MILLIS
        return EngineView(
            id = state.entry.id,
            backlogTokens = state.backlogTokens + peerLoads.backlogTokens(tag, speed),
            running = (state.running + peerLoads.running(tag)).toDouble(),
            slots = state.entry.slots,
            memoryShare = if (memory > 0) usedMemory.toDouble() / memory else 0.0,
            cachedTokens = 0.0,
            copyableTokens = 0.0,
            millisToBegin = millisToBegin,
            penaltyMillis =
                domainPenalty + recoveryPenalty + random.nextDouble(TIE_BREAK_MILLIS),
            weightsPenaltyMillis = weightsPenaltyMillis,
            tokensPerMilli = learned,
            fast = uneven?.isFast(tag) ?: false,
        )
    }

    private fun spreadMillis() = maxOf(MIN_SPREAD_MILLIS, peerLoads.intervalMillis * SPREAD_SHARE)

    private companion object {
        /**
         * Time that engines need for the requests of all instances within one interval of digests, as a share of it:
         * less than their utilization, since instances also see a part of these requests.
         */
        const val SPREAD_SHARE: Double = 0.15
        const val MIN_SPREAD_MILLIS: Double = 5.0

        /** Added cost of an engine in another failure domain; about one round trip. */
        const val REMOTE_DOMAIN_MILLIS: Double = 2.0

        /** Added cost of an engine right after its ejection ends. It decreases as the engine recovers. */
        const val RECOVERING_MILLIS: Double = 300.0

        /** Upper bound of a random cost, so that instances with the same view spread over engines of similar cost. */
        const val TIE_BREAK_MILLIS: Double = 3.0

        /** Below this, prefill is faster than copying from another engine. */
        const val MIN_COPY_TOKENS: Double = 200.0
    }
}

/** Returns the salt of prefix hashes, which differs between weights and between isolated customers. */
internal fun cacheSalt(
    weights: WeightsNumber?,
    cacheIsolation: String?,
): String = "w${weights?.value ?: 0}" + (cacheIsolation?.let { "/$it" } ?: "")
