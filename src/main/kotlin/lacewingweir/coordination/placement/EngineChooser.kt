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
import lacewingweir.state.id.EndpointId
import lacewingweir.state.id.FailureDomain
import lacewingweir.state.id.ModelName
import lacewingweir.state.id.ServiceName
import lacewingweir.state.id.WeightsNumber
import lacewingweir.state.placement.EndpointSpeeds
import lacewingweir.state.placement.EngineView
import lacewingweir.state.placement.PrefixRates
import lacewingweir.state.placement.PromptQuery
import lacewingweir.state.placement.UnevenEngines
import lacewingweir.state.placement.chooseEngine
import lacewingweir.state.placement.handoverTarget
import lacewingweir.state.placement.homeEngines
import lacewingweir.state.placement.sampleCandidates
import lacewingweir.state.placement.sampleSize
import lacewingweir.state.rate.DemandEstimate
import lacewingweir.state.time.MonotonicClock
import kotlin.random.Random

/**
 * A chosen endpoint and the load to reserve there: [uncachedTokens] wait for prefill, and [memoryTokens] of KV cache
 * memory are used. [cacheSource] is the engine from which it should copy the cached prompt parts that it lacks.
 * [model] is null for requests without a prompt.
 *
 * The time to the first event is expected to contain [notPrefillMillis] for other things than prefill, and to be
 * [referenceMillis] at an engine of the service's common speed. [callsPerSlot] of a request without a prompt is the
 * number of calls that share a slot with it, itself included.
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
    val referenceMillis: Double = expectedMillis,
)

/** [learnedSpeeds] is null if endpoints always count as equally fast. */
internal class EngineChooser(
    private val clock: MonotonicClock,
    private val domain: FailureDomain,
    private val weightsAgePolicy: WeightsAgePolicy,
    private val peerLoads: PeerLoads,
    private val random: Random,
    private val contended: (ServiceName) -> Boolean = { false },
    private val learnedSpeeds: LearnedSpeeds? = null,
) {
    private val speeds = HashMap<ServiceName, PrefillSpeed>()
    private val prefixRates = PrefixRates()

    /** The rate of this instance's placements, each of which counts as one token. */
    private val placements = DemandEstimate(PLACEMENT_RATE_MILLIS)

    /** Chooses an engine for a prompt. Returns null if none of [candidates] accepts it now and begins it in time. */
    fun choose(
        request: PlacementRequest,
        prompt: Prompt,
        candidates: List<EndpointState>,
        spec: EngineSpec?,
        target: WeightsTarget?,
    ): EndpointChoice? {
        val now = clock.nowMillis()
        val accepting = candidates.filter { it.acceptsPrompts(now) && weightsAgePolicy.isAllowed(it.weights(), target) }
        if (accepting.isEmpty()) return null
        val caches = PromptCaches(accepting, prompt, request.cacheIsolation)
        val isContended = contended(request.service)
        if (!isContended && unevenSpeeds(request.service) == null) {
            return chooseAmong(Candidates(accepting, caches), request, prompt, spec, target)
        }
        val homes = homesOf(request, prompt, accepting, caches)
        // While weights are rolled out, the few engines that have loaded them are the cheapest for all instances.
        val isRollingOut = accepting.any { target?.outdatedSince(it.weights()) != null }
        return if (isContended || isRollingOut) {
            chooseFromSample(Candidates(accepting, caches, homes, isSample = true), request, prompt, spec, target)
        } else {
            chooseAmong(Candidates(accepting, caches, homes), request, prompt, spec, target)
        }
    }

    /** Chooses one of a sample of [all], or one of the others if the request would wait for too long there. */
    private fun chooseFromSample(
        all: Candidates,
        request: PlacementRequest,
        prompt: Prompt,
        spec: EngineSpec?,
        target: WeightsTarget?,
    ): EndpointChoice? {
        val sample = sampleOf(all, prompt)
        val choice = chooseAmong(sample, request, prompt, spec, target)
        val isUsable = choice != null && choice.expectedMillis <= request.usableMillis
        if (isUsable || sample.engines.size == all.engines.size) return choice
        return chooseAmong(all, request, prompt, spec, target)
    }

    /**
     * The engines on which a prompt is compared, and what they cache of it. [homes] are those of its shared prefix, or
     * null if it has one home among [engines]. [isSample] tells whether they are drawn at random, so that no further
     * spreading is needed.
     */
    private class Candidates(
        val engines: List<EndpointState>,
        val caches: PromptCaches,
        val homes: List<EndpointId>? = null,
        val isSample: Boolean = false,
    )

    /**
     * What each of [engines] is known to cache of a prompt, in [tokens]. [sharedTokens] are those of the prefix that
     * other prompts may share, and [sharedHash] is its hash, or null if it is empty.
     */
    private class PromptCaches(
        engines: List<EndpointState>,
        prompt: Prompt,
        cacheIsolation: String?,
    ) {
        val partTokens = IntArray(prompt.parts.size) { prompt.parts[it].tokens }
        private val prefixHashes =
            engines
                .map { it.weights() }
                .distinct()
                .associateWith { prompt.prefixHashes(cacheSalt(it, cacheIsolation)) }
        private val sharedParts = (prompt.parts.size - 1).coerceAtLeast(0)
        val sharedTokens = partTokens.take(sharedParts).sum()

        // Hashed without the weights, so that a prompt keeps its home engine when new weights are loaded.
        val sharedHash =
            if (sharedParts > 0) prompt.prefixHashes(cacheIsolation.orEmpty())[sharedParts - 1] else null
        val tokens = engines.associateWith { it.prefixes.cachedTokens(prefixHashesAt(it), partTokens) }

        fun prefixHashesAt(engine: EndpointState): LongArray = prefixHashes.getValue(engine.weights())
    }

    /** Returns the learned speeds of a service's engines, or null if these count as equally fast. */
    private fun unevenSpeeds(service: ServiceName): EndpointSpeeds? = learnedSpeeds?.unevenSpeeds(service)

    /** Returns the engines on which a prompt is compared while peers place requests that this instance doesn't see. */
    private fun sampleOf(
        all: Candidates,
        prompt: Prompt,
    ): Candidates {
        val now = clock.nowMillis()
        val unseen = placements.tokensPerSecond(now) / MILLIS_PER_SECOND * peerLoads.summedAgeMillis()
        val ids = all.engines.map { it.entry.id }
        val home = all.homes.orEmpty().randomOrNull(random)
        val kept = setOfNotNull(home, bestCached(all.caches, prompt))
        val sample = sampleCandidates(ids, kept, sampleSize(ids.size, unseen), random)
        return Candidates(all.engines.filter { it.entry.id in sample }, all.caches, all.homes, isSample = true)
    }

    /** Returns an engine that is known to cache most of the prompt, if that is a large part of it. */
    private fun bestCached(
        caches: PromptCaches,
        prompt: Prompt,
    ): EndpointId? {
        val most = caches.tokens.values.max()
        if (most < prompt.inputTokens * MIN_CACHED_SHARE) return null
        return caches.tokens
            .filterValues { it == most }
            .keys
            .random(random)
            .entry.id
    }

    /** Returns the home engines of the prompt's shared prefix: more than one if its requests overload a single one. */
    private fun homesOf(
        request: PlacementRequest,
        prompt: Prompt,
        engines: List<EndpointState>,
        caches: PromptCaches,
    ): List<EndpointId> {
        val hash = caches.sharedHash ?: return emptyList()
        val ownTokens = (prompt.inputTokens - caches.sharedTokens).coerceAtLeast(0)
        val rate = prefixRates.record(hash, ownTokens, clock.nowMillis()) * (peerLoads.peers + 1)
        val speed = speeds[request.service]?.tokensPerMilli ?: PrefillSpeed.INITIAL_TOKENS_PER_MILLI
        return homeEngines(hash, engines.map { it.entry.id }, rate / speed)
    }

    private fun chooseAmong(
        candidates: Candidates,
        request: PlacementRequest,
        prompt: Prompt,
        spec: EngineSpec?,
        target: WeightsTarget?,
    ): EndpointChoice? {
        val usable = candidates.engines
        val caches = candidates.caches
        val cached = usable.associateWith(caches.tokens::getValue)
        val sources = CacheSources(cached, MIN_COPY_TOKENS)
        val uneven = unevenSpeeds(request.service)
        val views =
            usable.map {
                val cachedAtSource = sources.sourceFor(it)?.let(cached::getValue) ?: 0.0
                val penalty = weightsAgePolicy.penaltyMillis(it.weights(), target, prompt.longAnswer)
                val toBegin = weightsAgePolicy.remainingMillis(it.weights(), target)?.toDouble()
                view(it, spec, penalty, toBegin ?: Double.POSITIVE_INFINITY, uneven, drained = !candidates.isSample)
                    .copy(
                        cachedTokens = cached.getValue(it),
                        copyableTokens = (cachedAtSource - cached.getValue(it)).coerceAtLeast(0.0),
                    )
            }
        val speed = speeds.getOrPut(request.service) { PrefillSpeed() }
        val copyMillisPerToken = spec?.transferMillisPerToken ?: Double.MAX_VALUE
        val query =
            PromptQuery(
                inputTokens = prompt.inputTokens.toDouble(),
                sharedTokens = caches.sharedTokens.toDouble(),
                sharedHash = caches.sharedHash,
                usableMillis = request.usableMillis,
            )
        val unevenEngines =
            uneven
                ?.takeUnless { candidates.isSample }
                ?.let { UnevenEngines(random, spreadMillis(), it.sizeSplit) }
        val choice =
            chooseEngine(query, views, speed.tokensPerMilli, copyMillisPerToken, unevenEngines, candidates.homes)
                ?: return null
        placements.add(1, clock.nowMillis())
        val state = usable.first { it.entry.id == choice.engine }
        return EndpointChoice(
            state = state,
            uncachedTokens = choice.uncachedTokens,
            memoryTokens = prompt.inputTokens + prompt.maxOutputTokens,
            prefilled = PrefilledParts(caches.prefixHashesAt(state), caches.partTokens),
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
            referenceMillis = choice.referenceMillis,
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
                .filter { !it.health.isEjected(now) && it.weights() == from.weights }
                .filter { hasSameSoftware(it.entry, from.endpoint) }
                .associateBy { it.entry.id }
        val views = usable.values.map { view(it, spec, weightsPenaltyMillis = 0.0) }
        return handoverTarget(views) { usable.getValue(it).entry.domain == from.endpoint.domain }?.let(usable::getValue)
    }

    /** What engines of different software versions write doesn't fit together. */
    private fun hasSameSoftware(
        first: EndpointEntry,
        second: EndpointEntry,
    ) = first.software != null && first.software == second.software

    /**
     * Returns the view of an engine. If [drained], what it processes is subtracted from the backlog that peers report.
     * While they compete, they place new requests as fast as that.
     */
    private fun view(
        state: EndpointState,
        spec: EngineSpec?,
        weightsPenaltyMillis: Double,
        millisToBegin: Double = Double.POSITIVE_INFINITY,
        uneven: EndpointSpeeds? = null,
        drained: Boolean = true,
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
            backlogTokens = state.backlogTokens + peerLoads.backlogTokens(tag, if (drained) speed else 0.0),
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
        const val MILLIS_PER_SECOND: Double = 1_000.0

        /** Time constant of the rate of placements; it follows a burst within a second. */
        const val PLACEMENT_RATE_MILLIS: Double = 1_000.0

        /** An engine that caches less than this share of a prompt is compared only if it is in the sample. */
        const val MIN_CACHED_SHARE: Double = 0.25

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
