/**
 * Builds the views on which engines are chosen from what this instance and its peers know, and turns the choice into
 * what has to be booked. Not thread-safe; the board synchronises.
 */
package lacewingweir.coordination.placement

import lacewingweir.coordination.fleet.WeightsTarget
import lacewingweir.state.fleet.EndpointEntry
import lacewingweir.state.fleet.EngineSpec
import lacewingweir.state.fleet.Prompt
import lacewingweir.state.id.FailureDomain
import lacewingweir.state.id.ServiceName
import lacewingweir.state.id.WeightsNumber
import lacewingweir.state.placement.EngineView
import lacewingweir.state.placement.PromptQuery
import lacewingweir.state.placement.chooseEngine
import lacewingweir.state.placement.handoverTarget
import lacewingweir.state.time.MonotonicClock
import kotlin.random.Random

/**
 * A chosen endpoint and what the request takes there: [uncachedTokens] to read and [memoryTokens] of the memory.
 * [cacheSource] is an engine from which it should copy what it lacks of the prompt.
 */
internal class EndpointChoice(
    val state: EndpointState,
    val uncachedTokens: Double = 0.0,
    val memoryTokens: Long = 0,
    val read: PrefilledParts? = null,
    val expectedMillis: Double = 0.0,
    val speed: PrefillSpeed? = null,
    val cacheIsolation: String? = null,
    val cacheSource: EndpointEntry? = null,
)

internal class EngineChooser(
    private val clock: MonotonicClock,
    private val domain: FailureDomain,
    private val weightsRules: WeightsAgePolicy,
    private val peerLoads: PeerLoads,
    private val random: Random,
) {
    private val speeds = HashMap<ServiceName, PrefillSpeed>()

    /** Chooses an engine for a prompt; null if none of [candidates] takes it now. */
    fun choose(
        request: PlacementRequest,
        prompt: Prompt,
        candidates: List<EndpointState>,
        spec: EngineSpec?,
        target: WeightsTarget?,
    ): EndpointChoice? {
        val now = clock.nowMillis()
        val usable = candidates.filter { it.takesPrompts(now) && weightsRules.allowed(it.weights(), target) }
        if (usable.isEmpty()) return null
        val sizes = IntArray(prompt.parts.size) { prompt.parts[it].tokens }
        val chains =
            usable.map { it.weights() }.distinct().associateWith { prompt.chain(cacheSalt(it, request.cacheIsolation)) }
        val held = usable.associateWith { it.cached.held(chains.getValue(it.weights()), sizes) }
        val views =
            usable.map {
                val heldByHolder = bestHolder(it, held)?.let(held::getValue) ?: 0.0
                view(it, spec, weightsRules.penaltyMillis(it.weights(), target, prompt.longAnswer))
                    .copy(
                        heldTokens = held.getValue(it),
                        fetchableTokens = (heldByHolder - held.getValue(it)).coerceAtLeast(0.0),
                    )
            }
        val speed = speeds.getOrPut(request.service) { PrefillSpeed() }
        val fetchMillis = spec?.transferMillisPerToken ?: Double.MAX_VALUE
        val choice =
            chooseEngine(query(request, prompt, sizes), views, speed.tokensPerMilli, fetchMillis) ?: return null
        val state = usable.first { it.entry.id == choice.engine }
        return EndpointChoice(
            state = state,
            uncachedTokens = choice.uncachedTokens,
            memoryTokens = prompt.inputTokens + prompt.maxOutputTokens,
            read = PrefilledParts(chains.getValue(state.weights()), sizes),
            expectedMillis = choice.expectedMillis,
            speed = speed,
            cacheIsolation = request.cacheIsolation,
            cacheSource = bestHolder(state, held)?.takeIf { held.getValue(it) > held.getValue(state) }?.entry,
        )
    }

    /** Chooses one of [candidates] for a run that its engine is to hand over. */
    fun chooseHandoverTarget(
        from: EndpointReservation,
        candidates: List<EndpointState>,
        spec: EngineSpec,
    ): EndpointState? {
        val now = clock.nowMillis()
        val usable =
            candidates
                .filter { !it.isDraining(now) && !it.health.isEjected(now) && it.weights() == from.weights }
                .associateBy { it.entry.id }
        val views = usable.values.map { view(it, spec, weightsPenaltyMillis = 0.0) }
        return handoverTarget(views) { usable.getValue(it).entry.domain == from.endpoint.domain }?.let(usable::getValue)
    }

    private fun query(
        request: PlacementRequest,
        prompt: Prompt,
        sizes: IntArray,
    ): PromptQuery {
        val shared = prompt.parts.size - 1
        return PromptQuery(
            inputTokens = prompt.inputTokens.toDouble(),
            sharedTokens = sizes.take(shared.coerceAtLeast(0)).sum().toDouble(),
            // Hashed without the weights, so that a home keeps its prompts through a load.
            sharedHash = if (shared > 0) prompt.chain(request.cacheIsolation.orEmpty())[shared - 1] else null,
        )
    }

    /** The engine with the same weights that holds most of the prompt, if it is worth a copy. */
    private fun bestHolder(
        state: EndpointState,
        held: Map<EndpointState, Double>,
    ): EndpointState? =
        held.entries
            .filter { (other, tokens) ->
                other !== state &&
                    other.weights() == state.weights() &&
                    tokens >= MIN_FETCH_TOKENS
            }.maxByOrNull { it.value }
            ?.key

    private fun view(
        state: EndpointState,
        spec: EngineSpec?,
        weightsPenaltyMillis: Double,
    ): EngineView {
        val id = state.entry.id
        val speed = speeds[state.entry.service]?.tokensPerMilli ?: PrefillSpeed.INITIAL
        val memory = spec?.memoryTokens ?: 0
        val used = state.memoryTokens + peerLoads.memoryTokens(id)
        val distance = if (state.entry.domain == domain) 0.0 else REMOTE_MILLIS
        val ramp = (1.0 - state.health.slotShare(clock.nowMillis())) * RECOVERING_MILLIS
        return EngineView(
            id = id,
            backlogTokens = state.backlogTokens + peerLoads.backlogTokens(id, speed),
            running = (state.running + peerLoads.running(id)).toDouble(),
            slots = state.entry.slots,
            memoryShare = if (memory > 0) used.toDouble() / memory else 0.0,
            heldTokens = 0.0,
            fetchableTokens = 0.0,
            penaltyMillis = distance + ramp + weightsPenaltyMillis + random.nextDouble(TIE_BREAK_MILLIS),
        )
    }

    private companion object {
        /** Added cost of an engine in another failure domain, about a round trip. */
        const val REMOTE_MILLIS: Double = 2.0

        /** Added cost of an engine that has just returned from ejection. */
        const val RECOVERING_MILLIS: Double = 300.0

        /** Spreads instances with the same view over engines of nearly equal cost. */
        const val TIE_BREAK_MILLIS: Double = 3.0

        /** Fewer tokens are read again faster than they are fetched. */
        const val MIN_FETCH_TOKENS: Double = 200.0
    }
}

/** Separates cached parts made with other weights or by isolated customers. */
internal fun cacheSalt(
    weights: WeightsNumber?,
    cacheIsolation: String?,
): String = "w${weights?.value ?: 0}" + (cacheIsolation?.let { "/$it" } ?: "")
