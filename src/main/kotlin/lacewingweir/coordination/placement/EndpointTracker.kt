/**
 * Tracks the load, health, weights and cached prompt parts of each endpoint, and assigns requests to endpoints.
 *
 * Load is the sum of this instance's own requests and the loads reported by its peers. Engines are chosen by pure
 * functions on views that are built from this state. An [EndpointReservation] counts a request from its placement to
 * its end.
 */
package lacewingweir.coordination.placement

import io.github.oshai.kotlinlogging.KotlinLogging
import lacewingweir.coordination.fleet.FleetSnapshot
import lacewingweir.coordination.fleet.WeightsTarget
import lacewingweir.coordination.gossip.EndpointLimit
import lacewingweir.coordination.gossip.EndpointLoad
import lacewingweir.coordination.gossip.EngineReport
import lacewingweir.coordination.gossip.EngineWeights
import lacewingweir.coordination.gossip.InstanceDigest
import lacewingweir.coordination.gossip.PrefilledPrefix
import lacewingweir.coordination.gossip.SpeedSample
import lacewingweir.state.fleet.EndpointEntry
import lacewingweir.state.health.EndpointHealth
import lacewingweir.state.id.EndpointId
import lacewingweir.state.id.EndpointTag
import lacewingweir.state.id.FailureDomain
import lacewingweir.state.id.ModelName
import lacewingweir.state.id.ServiceName
import lacewingweir.state.id.SoftwareVersion
import lacewingweir.state.id.WeightsNumber
import lacewingweir.state.limit.pauseAfterRefusalMillis
import lacewingweir.state.placement.EndpointSpeeds
import lacewingweir.state.placement.SpeedFigures
import lacewingweir.state.time.MonotonicClock
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.random.Random

private val logger = KotlinLogging.logger {}

/**
 * The number of limited endpoints, of requests placed on them, and of pauses that endpoints have asked for. [refusals]
 * counts requests that no endpoint accepted because of a limit or a pause.
 */
internal data class LimitFigures(
    val endpoints: Int,
    val sends: Long,
    val pauses: Long,
    val refusals: Long,
)

/**
 * The number of requests placed on engines with outdated weights, of those refused because the weights of all engines
 * that would accept them were outdated for too long, and of those withdrawn because they had not begun in time.
 */
internal data class OutdatedWeightsFigures(
    val sends: Long,
    val refusals: Long,
    val withdrawals: Long,
)

/**
 * [limitShare] returns the requests per second of this instance at an endpoint that accepts `perSecond` from all, and
 * [slotShare] how many of the `slots` of a brittle endpoint this instance may use at once. [contended] tells whether
 * callers compete for the capacity of a service, so that instances must not all choose the same engine. If
 * [learnSpeeds] is set, endpoints of a service are treated as equally fast only until they prove to differ.
 */
internal class EndpointTracker(
    private val clock: MonotonicClock,
    private val domain: FailureDomain,
    private val weightsAgePolicy: WeightsAgePolicy,
    private val random: Random = Random.Default,
    private val limitShare: (EndpointTag, perSecond: Double) -> Double = { _, perSecond -> perSecond },
    private val slotShare: (EndpointTag, slots: Int) -> Int = { _, slots -> slots },
    private val contended: (ServiceName) -> Boolean = { false },
    learnSpeeds: Boolean = false,
    private val versionRules: VersionRules = VersionRules(),
) {
    private val states = HashMap<EndpointId, EndpointState>()
    private val peerLoads = PeerLoads(clock)
    private val learnedSpeeds = if (learnSpeeds) LearnedSpeeds(clock) else null
    private val engineChooser =
        EngineChooser(clock, domain, weightsAgePolicy, peerLoads, random, contended, learnedSpeeds)
    private val prefills = RecentPrefills()
    private var statesByTag: Map<EndpointTag, EndpointState> = emptyMap()

    private val pauses = EndpointPauses()
    private val brittleServices = BrittleServices()

    /** The engines that are about to load weights or to leave, with the time at which that became known. */
    private var drainingSinceMillis: Map<EndpointId, Long> = emptyMap()
    private val drainingListeners = CopyOnWriteArrayList<(EndpointId) -> Unit>()

    private var limitedSends = 0L
    private var limitRefusals = 0L

    private var outdatedSends = 0L
    private var outdatedRefusals = 0L
    private var withdrawals = 0L

    private var fleet: FleetSnapshot? = null

    /**
     * Calls [listener] when an engine is about to load weights or to leave.
     *
     * The listener is called under the lock of this tracker, so it must neither block nor acquire a lock.
     */
    fun observeDraining(listener: (EndpointId) -> Unit) {
        drainingListeners += listener
    }

    /** Returns whether callers compete for the capacity of the service. */
    fun isContended(service: ServiceName): Boolean = contended(service)

    /** Returns whether the engine is about to load weights or to leave. */
    @Synchronized
    fun isDraining(id: EndpointId): Boolean = states[id]?.isDraining(clock.nowMillis()) ?: false

    /** Returns whether the engine is about to leave or has left. */
    @Synchronized
    fun isLeaving(id: EndpointId): Boolean = states[id]?.entry?.leaving ?: true

    /** Returns for how long it has been known that the engine is about to load weights or to leave, in milliseconds. */
    @Synchronized
    fun drainingMillis(id: EndpointId): Long = drainingSinceMillis[id]?.let { clock.nowMillis() - it } ?: 0

    /**
     * Notifies listeners of engines that have started to drain.
     *
     * Called only after a whole batch of changes has been applied, so that no running request is handed over to an
     * engine that drains by a later change of the same batch.
     */
    private fun notifyDraining() {
        val now = clock.nowMillis()
        val current = states.values.filter { it.isDraining(now) }.mapTo(HashSet()) { it.entry.id }
        val newlyDraining = current - drainingSinceMillis.keys
        drainingSinceMillis = current.associateWith { drainingSinceMillis[it] ?: now }
        for (id in newlyDraining) drainingListeners.forEach { it(id) }
    }

    /** Applies a new snapshot of the fleet. */
    @Synchronized
    fun onFleet(snapshot: FleetSnapshot) {
        fleet = snapshot
        states.keys.retainAll(snapshot.endpoints.keys)
        for ((id, entry) in snapshot.endpoints) {
            val known = states[id]
            if (known != null && known.entry.startedAtUnixMillis == entry.startedAtUnixMillis) {
                known.update(entry)
            } else {
                states[id] = newState(entry, known, snapshot)
            }
        }
        statesByTag = states.values.associateBy { it.entry.tag }
        learnedSpeeds?.onFleet(snapshot)
        notifyDraining()
    }

    /**
     * Creates the state of a new or restarted endpoint. A restarted one keeps its weights, but not its cache or load.
     */
    private fun newState(
        entry: EndpointEntry,
        predecessor: EndpointState?,
        snapshot: FleetSnapshot,
    ): EndpointState {
        if (predecessor != null) logger.info { "board: endpoint ${entry.id} restarted; discarding its cache and load" }
        val memory = snapshot.engineSpec(entry.service)?.memoryTokens ?: 0
        return EndpointState(entry, memory).also { it.observedWeights = predecessor?.weights() }
    }

    /** Applies a peer's digest. */
    @Synchronized
    fun onDigest(digest: InstanceDigest) {
        peerLoads.onDigest(digest)
        learnedSpeeds?.onPeerSamples(digest.speeds)
        for (prefix in digest.prefills) {
            statesByTag[prefix.endpoint]?.prefixes?.recordPrefill(prefix.hash, prefix.tokens)
        }
        applyWeights(digest.instance, digest.weights, digest.validityMillis)
        val now = clock.nowMillis()
        for (limit in digest.limits) {
            val perSecond = limit.perSecond.takeIf { it != EndpointLimit.NONE }
            statesByTag[limit.endpoint]?.let { updateLimit(it, perSecond, now - limit.ageMillis, digest.instance) }
        }
    }

    /** Applies a peer's report that engines have begun or finished to load weights. */
    @Synchronized
    fun onEngineReport(report: EngineReport) = applyWeights(report.instance, report.weights, report.validityMillis)

    private fun applyWeights(
        reporter: String,
        engines: List<EngineWeights>,
        validityMillis: Long,
    ) {
        if (engines.isEmpty()) return
        val validUntil = clock.nowMillis() + validityMillis
        for (engine in engines) statesByTag[engine.endpoint]?.let { applyWeights(reporter, engine, it, validUntil) }
        notifyDraining()
    }

    private fun applyWeights(
        reporter: String,
        engine: EngineWeights,
        state: EndpointState,
        validUntilMillis: Long,
    ) {
        if (engine.loading) {
            state.loadingUntilMillis = validUntilMillis
            state.loadingReporter = reporter
        } else if (state.loadingReporter == reporter) {
            state.loadingUntilMillis = 0
        }
        val reported = WeightsNumber(engine.weights)
        if (reported > (state.weights() ?: reported)) state.updateWeights(reported)
    }

    /**
     * Returns the load of this instance's own requests, for its digest. Endpoints without running requests are omitted.
     */
    @Synchronized
    fun ownLoads(): List<EndpointLoad> = states.values.filter { it.running > 0 }.map { it.load() }

    /** Returns the shared prompt prefixes that engines have processed for this instance since the last call. */
    @Synchronized
    fun takePrefills(): List<PrefilledPrefix> = prefills.take()

    /** Returns the samples of endpoints' speeds from this instance's requests since the last call. */
    @Synchronized
    fun takeSpeeds(): List<SpeedSample> = learnedSpeeds?.takeSamples().orEmpty()

    /** Returns what is known of the speeds of each service's endpoints; nothing if they are not learned. */
    @Synchronized
    fun speedFigures(): Map<ServiceName, SpeedFigures> = learnedSpeeds?.figures().orEmpty()

    /** Marks engines that this instance is about to instruct to load weights. */
    @Synchronized
    fun markLoading(ids: List<EndpointId>) {
        for (id in ids) states[id]?.let(::beginOwnLoad)
        notifyDraining()
    }

    /**
     * Records that an engine has started or finished loading weights on the instruction of this instance.
     *
     * [weights] are those that the engine runs now, or null if they are unknown.
     */
    @Synchronized
    fun setLoading(
        id: EndpointId,
        loading: Boolean,
        weights: WeightsNumber?,
    ) {
        val state = states[id] ?: return
        if (loading) beginOwnLoad(state) else state.loadingUntilMillis = 0
        if (weights != null) learnWeights(state, weights)
    }

    private fun beginOwnLoad(state: EndpointState) {
        state.loadingUntilMillis = clock.nowMillis() + LOADING_VALIDITY_MILLIS
        // A peer that has announced an earlier load of the engine can't end this one.
        state.loadingReporter = null
    }

    @Synchronized
    fun weightsOf(id: EndpointId): WeightsNumber? = states[id]?.weights()

    @Synchronized
    fun runningAt(id: EndpointId): Int = states[id]?.let { it.running + peerLoads.running(it.entry.tag) } ?: 0

    /** Returns the prompt tokens that wait for prefill at an engine, for this instance's requests and its peers'. */
    @Synchronized
    fun backlogAt(id: EndpointId): Long =
        states[id]?.let { it.backlogTokens.toLong() + peerLoads.backlogTokens(it.entry.tag).toLong() } ?: 0

    private fun usableStates(request: PlacementRequest): List<EndpointState> =
        fleet
            ?.usable(request.service)
            .orEmpty()
            .filter { it.id !in request.excluded && it.tag !in request.received }
            .filter { request.software == null || it.software == request.software }
            .filter(versionRules.accepting(request.service, request.software != null))
            .mapNotNull { states[it.id] }

    /** Returns whether the service has an endpoint with this version that accepts new requests in general. */
    @Synchronized
    fun serves(
        service: ServiceName,
        software: SoftwareVersion,
    ): Boolean {
        val accepts = versionRules.accepting(service, true)
        return fleet?.usable(service).orEmpty().any { it.software == software && accepts(it) }
    }

    /** Returns whether the request might be placed now or later, as far as exclusions and versions go. */
    @Synchronized
    fun hasUsable(request: PlacementRequest): Boolean = usableStates(request).isNotEmpty()

    /** Chooses an endpoint and reserves load there. Returns null if no endpoint accepts the request now. */
    @Synchronized
    fun place(request: PlacementRequest): EndpointReservation? {
        val now = clock.nowMillis()
        val candidates = usableStates(request).filter { closedMillis(it, now) == 0L && mayHaveRoom(it, now) }
        val prefers = versionRules.preferring(request.service)
        val preferred = if (prefers == null) candidates else candidates.filter { prefers(it.entry) }
        val choice = if (preferred.size < candidates.size) choosePreferred(request, preferred, now) else null
        return (choice ?: choose(request, candidates, now))?.let(::reserve)
    }

    /** Chooses one of the [preferred] endpoints, unless the request would be refused there or wait for longer. */
    private fun choosePreferred(
        request: PlacementRequest,
        preferred: List<EndpointState>,
        now: Long,
    ): EndpointChoice? =
        choose(request, preferred.filter { runningAt(it.entry.id) < it.entry.slots }, now)
            ?.takeIf { it.expectedMillis <= request.usableMillis }

    private fun choose(
        request: PlacementRequest,
        candidates: List<EndpointState>,
        now: Long,
    ): EndpointChoice? {
        val snapshot = fleet ?: return null
        val notAvoided = candidates.filterNot { it.avoidedUntilMillis > now }.ifEmpty { candidates }
        val healthy = notAvoided.filterNot { it.health.isEjected(now) }.ifEmpty { notAvoided }
        if (healthy.isEmpty()) return null
        val prompt = request.prompt ?: return chooseWithoutPrompt(healthy)
        val spec = snapshot.engineSpec(request.service)
        return engineChooser.choose(request, prompt, healthy, spec, snapshot.weights[prompt.model])
    }

    /**
     * Chooses another engine to continue a running request, and reserves load there.
     *
     * The other engine has the same weights and software, and is none of [excluded]. Returns null if there is no such
     * engine.
     */
    @Synchronized
    fun placeForHandover(
        from: EndpointReservation,
        excluded: Set<EndpointId>,
    ): EndpointReservation? {
        val snapshot = fleet ?: return null
        val service = from.endpoint.service
        val spec = snapshot.engineSpec(service)?.takeIf { it.supportsHandover } ?: return null
        val now = clock.nowMillis()
        val candidates =
            snapshot
                .usable(service)
                .filter { it.id != from.endpoint.id && it.id !in excluded }
                .filter(versionRules.accepting(service, true))
                .mapNotNull { states[it.id] }
                .filter { closedMillis(it, now) == 0L && mayHaveRoom(it, now) }
        return engineChooser
            .chooseHandoverTarget(from, candidates.filter { mayContinueAt(it, from) }, spec)
            ?.let { reserveAgain(it, from) }
    }

    /** Returns whether the run for which [target] was reserved can be expected to continue there, with its weights. */
    @Synchronized
    fun mayContinueAt(target: EndpointReservation): Boolean {
        // A restarted engine has a new state, and one whose item was removed has none.
        val isSameEngine = states[target.endpoint.id] === target.state
        return isSameEngine && target.state.weights() == target.weights && mayContinueAt(target.state, target)
    }

    private fun mayContinueAt(
        state: EndpointState,
        run: EndpointReservation,
    ) = !state.isDraining(clock.nowMillis()) && weightsAgePolicy.mayContinueOn(state.weights(), targetOf(run.model))

    /**
     * Reserves load for a running request again at its own engine. Returns null if the engine has other weights by now,
     * since the KV cache of the run was made under those that it had.
     */
    @Synchronized
    fun placeOnSameEngine(from: EndpointReservation): EndpointReservation? =
        if (from.state.weights() == from.weights) reserveAgain(from.state, from) else null

    private fun reserveAgain(
        state: EndpointState,
        from: EndpointReservation,
    ) = reserve(
        EndpointChoice(
            state,
            memoryTokens = from.memoryTokens,
            prefilled = from.prefilled,
            cacheIsolation = from.cacheIsolation,
            model = from.model,
        ),
    )

    private fun chooseWithoutPrompt(candidates: List<EndpointState>): EndpointChoice {
        val uneven = learnedSpeeds?.unevenSpeeds(candidates.first().entry.service)
        val best =
            candidates.minBy {
                occupancy(it, uneven) + if (it.entry.domain == domain) 0.0 else REMOTE_DOMAIN_OCCUPANCY
            }
        val slots = best.entry.slots.coerceAtLeast(1)
        val calls = best.running + peerLoads.running(best.entry.tag) + 1.0
        return EndpointChoice(best, callsPerSlot = (calls / slots).coerceAtLeast(1.0))
    }

    /** Returns the used share of the slots. With [uneven] speeds, it is weighted by the time that a call takes. */
    private fun occupancy(
        state: EndpointState,
        uneven: EndpointSpeeds?,
    ): Double {
        val slots = state.entry.slots.coerceAtLeast(1)
        val others = peerLoads.running(state.entry.tag)
        val calls = state.running + others + random.nextDouble(TIE_BREAK_REQUESTS)
        if (uneven == null) return calls / slots
        return (calls + 1.0) / slots * (uneven.middle / uneven.speed(state.entry.tag))
    }

    private fun reserve(choice: EndpointChoice): EndpointReservation {
        val state = choice.state
        if (state.requestLimit != null) {
            state.takeRequest(clock.nowMillis(), limitShare)
            limitedSends++
        }
        if (targetOf(choice.model)?.outdatedSince(state.weights()) != null) outdatedSends++
        versionRules.onPlaced(state.entry)
        state.running++
        state.backlogTokens += choice.uncachedTokens
        state.memoryTokens += choice.memoryTokens
        // Waiting behind other requests of this instance would distort the measured prefill speed.
        val onlyRequest = state.running == 1
        return EndpointReservation(this, choice, measuresPrefillSpeed = onlyRequest, placedAtMillis = clock.nowMillis())
    }

    private fun targetOf(model: ModelName?): WeightsTarget? = model?.let { fleet?.weights?.get(it) }

    @Synchronized
    internal fun outdatedMillis(reservation: EndpointReservation): Long =
        weightsAgePolicy.outdatedMillis(reservation.weights, targetOf(reservation.model))

    @Synchronized
    internal fun millisToBegin(reservation: EndpointReservation): Long? =
        weightsAgePolicy.remainingMillis(reservation.weights, targetOf(reservation.model))

    internal fun millisSince(millis: Long): Long = clock.nowMillis() - millis

    @Synchronized
    internal fun onWithdrawn() {
        withdrawals++
    }

    /** Records that a request was refused because [place] found no endpoint for it. */
    @Synchronized
    fun onRefused(request: PlacementRequest) {
        val target = targetOf(request.prompt?.model) ?: return
        val now = clock.nowMillis()
        val accepting = usableStates(request).filter { it.acceptsPrompts(now) }
        if (accepting.any { target.outdatedSince(it.weights()) != null }) outdatedRefusals++
    }

    @Synchronized
    fun outdatedWeightsFigures() = OutdatedWeightsFigures(outdatedSends, outdatedRefusals, withdrawals)

    @Synchronized
    internal fun onFirstEvent(
        reservation: EndpointReservation,
        complete: Boolean,
    ) {
        val state = reservation.state
        state.backlogTokens = (state.backlogTokens - reservation.uncachedTokens).coerceAtLeast(0.0)
        reservation.prefilled?.let { prefilled ->
            state.prefixes.recordPrefill(prefilled.prefixHashes, prefilled.partTokens)
            prefills.add(state.entry.tag, prefilled)
        }
        // An engine that produces first tokens is healthy, even if other requests time out in its queue.
        state.health = state.health.onSuccess(clock.nowMillis())
        val millis = reservation.ageMillis.toDouble()
        if (versionRules.isReference(state.entry)) {
            reservation.prefillSpeed?.observe(reservation.uncachedTokens, millis)
        }
        if (!complete && reservation.uncachedTokens > 0.0) {
            val prefillMillis = maxOf(millis - SEND_MILLIS - reservation.notPrefillMillis, millis / 2)
            learnedSpeeds?.onPrefilled(state.entry.tag, reservation.uncachedTokens, prefillMillis)
        }
    }

    @Synchronized
    internal fun release(
        reservation: EndpointReservation,
        inPrefill: Boolean,
        outcome: ReservationOutcome,
    ) {
        val state = reservation.state
        state.running = (state.running - 1).coerceAtLeast(0)
        state.memoryTokens = (state.memoryTokens - reservation.memoryTokens).coerceAtLeast(0)
        if (inPrefill) state.backlogTokens = (state.backlogTokens - reservation.uncachedTokens).coerceAtLeast(0.0)
        val now = clock.nowMillis()
        if (outcome == ReservationOutcome.SERVED && reservation.callsPerSlot > 0.0) {
            learnedSpeeds?.onCallEnded(state.entry.tag, reservation.callsPerSlot, reservation.ageMillis.toDouble())
        }
        when (outcome) {
            ReservationOutcome.SERVED -> state.health = state.health.onSuccess(now)
            ReservationOutcome.FAILED -> recordFailure(state, state.health.onFailure(now))
            // Each further request would wait for another connection attempt, so one failure is enough for ejection.
            ReservationOutcome.UNREACHABLE -> recordFailure(state, state.health.onUnreachable(now))
            ReservationOutcome.REFUSED -> state.avoidedUntilMillis = now + AVOIDANCE_MILLIS
            ReservationOutcome.NOT_COUNTED, ReservationOutcome.NOT_SENT -> Unit
        }
        if (outcome in REJECTIONS) {
            versionRules.onRejected(state.entry, outcome != ReservationOutcome.NOT_SENT)
        }
    }

    private fun recordFailure(
        state: EndpointState,
        health: EndpointHealth,
    ) {
        if (health.ejections > state.health.ejections) {
            logger.warn { "board: endpoint ${state.entry.id} ejected failures=${health.consecutiveFailures}" }
        }
        state.health = health
    }

    @Synchronized
    internal fun recordWeights(
        state: EndpointState,
        weights: WeightsNumber,
    ) {
        if (state.weights() != weights) learnWeights(state, weights)
    }

    @Synchronized
    internal fun recordRequestLimit(
        state: EndpointState,
        perSecond: Double?,
    ) {
        updateLimit(state, perSecond, clock.nowMillis(), reporter = null)
    }

    private fun updateLimit(
        state: EndpointState,
        perSecond: Double?,
        statedAtMillis: Long,
        reporter: String?,
    ) {
        val before = state.requestLimit
        if (!state.updateRequestLimit(perSecond, statedAtMillis)) return
        logger.info {
            "board: endpoint ${state.entry.id} limit=$perSecond requests/s before=$before " +
                "reporter=${reporter ?: "self"}"
        }
    }

    /** Sends no requests to [endpoint] for [millis]. */
    @Synchronized
    fun pause(
        endpoint: EndpointEntry,
        millis: Long,
    ) {
        if (pauses.add(endpoint.tag, millis, clock.nowMillis())) {
            logger.info { "board: endpoint ${endpoint.id} pauses for $millis ms" }
        }
    }

    /** Records that [endpoint] is brittle, and whether it has [refused] a request for want of room. */
    @Synchronized
    fun onBrittle(
        endpoint: EndpointEntry,
        refusalsPerSecond: Double,
        refused: Boolean,
    ) {
        val now = clock.nowMillis()
        if (brittleServices.add(endpoint.service, refusalsPerSecond, now)) {
            logger.info { "board: endpoints of ${endpoint.service} are brittle refusals=$refusalsPerSecond/s" }
        }
        if (!refused) return
        val share = states[endpoint.id]?.slotShare(now, slotShare) ?: return
        pause(endpoint, pauseAfterRefusalMillis(endpoint.slots, share, refusalsPerSecond))
    }

    /** Returns whether a request of this instance is likely to be run at once if the endpoint is brittle. */
    private fun mayHaveRoom(
        state: EndpointState,
        nowMillis: Long,
    ): Boolean =
        brittleServices.refusalsPerSecond(state.entry.service, nowMillis) == null ||
            state.running < state.slotShare(nowMillis, slotShare)

    /** Returns how long [endpoint] still wants no requests, in milliseconds, or zero if it accepts them. */
    @Synchronized
    fun pauseMillis(endpoint: EndpointEntry): Long = pauses.remainingMillis(endpoint.tag, clock.nowMillis())

    /** Returns the milliseconds until a limit or a pause allows this instance to send a request. */
    private fun closedMillis(
        state: EndpointState,
        nowMillis: Long,
    ): Long = maxOf(state.limitedMillis(nowMillis, limitShare), pauses.remainingMillis(state.entry.tag, nowMillis))

    /** Returns the limits of requests for this instance's digest. */
    @Synchronized
    fun limitReports(): List<EndpointLimit> = states.values.mapNotNull { it.limitReport(clock.nowMillis()) }

    /**
     * Returns the milliseconds until this instance may send the request to an endpoint if the limits and pauses of all
     * usable endpoints forbid it now, or null if they don't.
     */
    @Synchronized
    fun closedMillis(request: PlacementRequest): Long? {
        val now = clock.nowMillis()
        val waits = usableStates(request).map { closedMillis(it, now) }
        if (waits.isEmpty() || waits.any { it == 0L }) return null
        limitRefusals++
        return waits.min()
    }

    /** Returns the number of endpoints with a limit, and what was counted because of limits since the start. */
    @Synchronized
    fun limitFigures() =
        LimitFigures(
            endpoints = states.values.count { it.requestLimit != null },
            sends = limitedSends,
            pauses = pauses.begun,
            refusals = limitRefusals,
        )

    private fun learnWeights(
        state: EndpointState,
        weights: WeightsNumber,
    ) {
        state.updateWeights(weights)
        state.weightsLearnedAtMillis = clock.nowMillis()
    }

    /**
     * Returns the weights that this instance's digest reports: those of engines that it is [loading], and those that it
     * has learned from an engine so recently that the engine's store item may not show them yet.
     */
    @Synchronized
    fun engineNews(loading: Set<EndpointId>): List<EngineWeights> {
        val oldest = clock.nowMillis() - NEWS_MILLIS
        return engineWeights(loading) { it.entry.id in loading || it.weightsLearnedAtMillis >= oldest }
    }

    /** Returns the weights of [engines], and which of them this instance is [loading]. */
    @Synchronized
    fun engineWeights(
        engines: Set<EndpointId>,
        loading: Set<EndpointId>,
    ): List<EngineWeights> = engineWeights(loading) { it.entry.id in engines }

    private fun engineWeights(
        loading: Set<EndpointId>,
        included: (EndpointState) -> Boolean,
    ): List<EngineWeights> =
        states.values.filter(included).mapNotNull { state ->
            state.weights()?.let { EngineWeights(state.entry.tag, it.value, state.entry.id in loading) }
        }

    private companion object {
        /** Outcomes of requests that did not run. */
        val REJECTIONS =
            setOf(ReservationOutcome.NOT_SENT, ReservationOutcome.REFUSED, ReservationOutcome.UNREACHABLE)

        /** Occupancy added to an endpoint of a service without engines if it is in another failure domain. */
        const val REMOTE_DOMAIN_OCCUPANCY: Double = 0.1
        const val TIE_BREAK_REQUESTS: Double = 0.5

        /** Time for sending a request to an engine and for its first event to arrive. */
        const val SEND_MILLIS: Double = 10.0

        /**
         * Allows time for the load, loading state or current weights of an endpoint to arrive after it rejected a
         * request.
         */
        const val AVOIDANCE_MILLIS: Long = 250

        /** The instance that loads an engine confirms several times within this period that the load goes on. */
        const val LOADING_VALIDITY_MILLIS: Long = 1_000

        /** Allows for at least two digests, in case one is lost. */
        const val NEWS_MILLIS: Long = 1_500
    }
}
