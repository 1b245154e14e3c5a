/**
 * Endpoints as candidates for requests: own and reported load, health, weights and cached prompt parts.
 *
 * Decisions are made by pure functions on the views that the board builds; a [Booking] keeps the board's counts true
 * from the decision to the end of the request.
 */
package lacewingweir.coordination.placement

import io.github.oshai.kotlinlogging.KotlinLogging
import lacewingweir.coordination.fleet.FleetSnapshot
import lacewingweir.coordination.gossip.EndpointLoad
import lacewingweir.coordination.gossip.EngineWeights
import lacewingweir.coordination.gossip.InstanceDigest
import lacewingweir.coordination.gossip.PartRead
import lacewingweir.coordination.gossip.PeerBoard
import lacewingweir.state.fleet.EndpointEntry
import lacewingweir.state.health.EndpointHealth
import lacewingweir.state.id.EndpointId
import lacewingweir.state.id.FailureDomain
import lacewingweir.state.id.WeightsNumber
import lacewingweir.state.time.MonotonicClock
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.random.Random

private val logger = KotlinLogging.logger {}

internal class EndpointBoard(
    private val clock: MonotonicClock,
    private val domain: FailureDomain,
    private val weightsRules: WeightsRules,
    private val random: Random = Random.Default,
) {
    private val states = HashMap<EndpointId, EndpointState>()
    private val peerLoads = PeerLoads(clock)
    private val engines = EngineChooser(clock, domain, weightsRules, peerLoads, random)
    private val reads = RecentReads(clock)

    private var vacating: Set<EndpointId> = emptySet()
    private val vacatingListeners = CopyOnWriteArrayList<(EndpointId) -> Unit>()

    private var fleet: FleetSnapshot? = null

    /** Calls [listener] when an engine is about to load weights or to leave. It must neither block nor lock. */
    fun observeVacating(listener: (EndpointId) -> Unit) {
        vacatingListeners += listener
    }

    /** Whether the engine is about to stop serving. */
    @Synchronized
    fun isVacating(id: EndpointId): Boolean = states[id]?.isVacating(clock.nowMillis()) ?: false

    /** Called after all of a batch of news has been taken in, so that no run moves to an engine that is next. */
    private fun announceVacating() {
        val now = clock.nowMillis()
        val current = states.values.filter { it.isVacating(now) }.mapTo(HashSet()) { it.entry.id }
        val news = current - vacating
        vacating = current
        for (id in news) vacatingListeners.forEach { it(id) }
    }

    /** Takes a new belief about the fleet. */
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
        announceVacating()
    }

    /** A restarted endpoint has the weights that it had before and nothing else. */
    private fun newState(
        entry: EndpointEntry,
        predecessor: EndpointState?,
        snapshot: FleetSnapshot,
    ): EndpointState {
        if (predecessor != null) logger.info { "board: endpoint ${entry.id} has restarted; forgetting what it held" }
        val memory = snapshot.engines(entry.service)?.memoryTokens ?: 0
        return EndpointState(entry, memory).also { it.seenWeights = predecessor?.weights() }
    }

    /** Takes a peer's digest. */
    @Synchronized
    fun onDigest(digest: InstanceDigest) {
        val now = clock.nowMillis()
        peerLoads.onDigest(digest)
        for (engine in digest.weights) {
            val state = states[EndpointId(engine.endpoint)]
            if (state != null &&
                state.entry.startedAtUnixMillis == engine.startedAtUnixMillis
            ) {
                apply(digest.instance, engine, state, now)
            }
        }
        for (read in digest.reads) states[EndpointId(read.endpoint)]?.cached?.read(read.hash, read.tokens)
        announceVacating()
    }

    private fun apply(
        from: String,
        engine: EngineWeights,
        state: EndpointState,
        now: Long,
    ) {
        if (engine.loading) {
            state.loadingUntilMillis = now + PeerBoard.BELIEF_MILLIS
            state.loadingBy = from
        } else if (state.loadingBy == from) {
            state.loadingUntilMillis = 0
        }
        val seen = WeightsNumber(engine.weights)
        if (seen > (state.weights() ?: seen)) state.learnWeights(seen)
    }

    /** Own load for the digest, without endpoints that have none. */
    @Synchronized
    fun ownLoads(): List<EndpointLoad> = states.values.filter { it.running > 0 }.map { it.load() }

    /** Shared beginnings that engines have read for this instance within the last while. */
    @Synchronized
    fun recentReads(): List<PartRead> = reads.recent()

    /** Marks engines that this instance is about to order to load weights. */
    @Synchronized
    fun announceLoads(ids: List<EndpointId>) {
        for (id in ids) states[id]?.loadingUntilMillis = clock.nowMillis() + PeerBoard.BELIEF_MILLIS
        announceVacating()
    }

    /** Marks an engine that this instance has ordered to load weights, or that has finished doing so. */
    @Synchronized
    fun setLoading(
        id: EndpointId,
        loading: Boolean,
        weights: WeightsNumber?,
    ) {
        val state = states[id] ?: return
        state.loadingUntilMillis = if (loading) clock.nowMillis() + PeerBoard.BELIEF_MILLIS else 0
        if (weights != null) state.learnWeights(weights)
    }

    @Synchronized
    fun weightsOf(id: EndpointId): WeightsNumber? = states[id]?.weights()

    @Synchronized
    fun runningAt(id: EndpointId): Int = (states[id]?.running ?: 0) + peerLoads.running(id)

    /** Prompt tokens that wait at an engine, by own count and the peers' digests. */
    @Synchronized
    fun backlogAt(id: EndpointId): Long =
        (states[id]?.backlogTokens?.toLong() ?: 0) + peerLoads.backlogTokens(id).toLong()

    /** Chooses an endpoint and counts the request there; null if no endpoint takes requests now. */
    @Synchronized
    fun place(request: PlacementRequest): Booking? {
        val snapshot = fleet ?: return null
        val now = clock.nowMillis()
        val candidates =
            snapshot
                .usable(request.service)
                .filter { it.id !in request.excluded }
                .mapNotNull { states[it.id] }
        val calm = candidates.filterNot { it.avoidedUntilMillis > now }.ifEmpty { candidates }
        val healthy = calm.filterNot { it.health.isEjected(now) }.ifEmpty { calm }
        if (healthy.isEmpty()) return null
        val prompt = request.prompt ?: return placePlain(healthy)
        val spec = snapshot.engines(request.service)
        return engines.choose(request, prompt, healthy, spec, snapshot.weights[prompt.model])?.let(::book)
    }

    /** Chooses another engine with the same weights for a run, but none of [excluded], and counts the run there. */
    @Synchronized
    fun placeMoved(
        from: Booking,
        excluded: Set<EndpointId>,
    ): Booking? {
        val snapshot = fleet ?: return null
        val service = from.endpoint.service
        val spec = snapshot.engines(service)?.takeIf { it.handsOverRuns } ?: return null
        val candidates =
            snapshot
                .usable(service)
                .filter { it.id != from.endpoint.id && it.id !in excluded }
                .mapNotNull { states[it.id] }
        return engines.chooseMoved(from, candidates, spec)?.let { rebook(it, from) }
    }

    /** Counts a run again at its own engine. */
    @Synchronized
    fun placeAgain(from: Booking): Booking = rebook(from.state, from)

    private fun rebook(
        state: EndpointState,
        from: Booking,
    ) = book(EndpointChoice(state, memoryTokens = from.memoryTokens, read = from.read, isolation = from.isolation))

    private fun placePlain(candidates: List<EndpointState>): Booking {
        val best = candidates.minBy { occupancy(it) + if (it.entry.domain == domain) 0.0 else REMOTE_SLOT_SHARE }
        return book(EndpointChoice(best))
    }

    private fun occupancy(state: EndpointState): Double {
        val others = peerLoads.running(state.entry.id)
        return (state.running + others + random.nextDouble(TIE_BREAK_REQUESTS)) / state.entry.slots.coerceAtLeast(1)
    }

    private fun book(choice: EndpointChoice): Booking {
        val state = choice.state
        state.running++
        state.backlogTokens += choice.missedTokens
        state.memoryTokens += choice.memoryTokens
        // Only a request without others of this instance beside it tells how fast the engine reads.
        val alone = state.running == 1
        return Booking(this, choice, observesSpeed = alone, placedAtMillis = clock.nowMillis())
    }

    @Synchronized
    internal fun firstEvent(booking: Booking) {
        val state = booking.state
        state.backlogTokens = (state.backlogTokens - booking.missedTokens).coerceAtLeast(0.0)
        booking.read?.let { read ->
            state.cached.read(read.chain, read.sizes)
            reads.add(state.entry.id, read)
        }
        // An engine that gets prompts to their first token works, however long others wait.
        state.health = state.health.onSuccess(clock.nowMillis())
        booking.speed?.observe(booking.missedTokens, (clock.nowMillis() - booking.placedAtMillis).toDouble())
    }

    @Synchronized
    internal fun ended(
        booking: Booking,
        beforeFirstEvent: Boolean,
        outcome: BookingOutcome,
    ) {
        val state = booking.state
        state.running = (state.running - 1).coerceAtLeast(0)
        state.memoryTokens = (state.memoryTokens - booking.memoryTokens).coerceAtLeast(0)
        if (beforeFirstEvent) state.backlogTokens = (state.backlogTokens - booking.missedTokens).coerceAtLeast(0.0)
        val now = clock.nowMillis()
        when (outcome) {
            BookingOutcome.SERVED -> state.health = state.health.onSuccess(now)
            BookingOutcome.FAILED -> fail(state, state.health.onFailure(now))
            // Each further request would lose the time of a connection attempt, so one is enough.
            BookingOutcome.UNREACHABLE -> fail(state, state.health.onUnreachable(now))
            BookingOutcome.TURNED_AWAY -> state.avoidedUntilMillis = now + AVOIDED_MILLIS
            BookingOutcome.NEUTRAL -> Unit
        }
    }

    private fun fail(
        state: EndpointState,
        health: EndpointHealth,
    ) {
        if (health.ejections > state.health.ejections) {
            logger.warn { "board: endpoint ${state.entry.id} ejected failures=${health.consecutiveFailures}" }
        }
        state.health = health
    }

    @Synchronized
    internal fun sawWeights(
        state: EndpointState,
        weights: WeightsNumber,
    ) {
        if (state.weights() != weights) state.learnWeights(weights)
    }

    /** Weights that were seen, for the digest. */
    @Synchronized
    fun engineWeights(loading: Set<EndpointId>): List<EngineWeights> =
        states.values.mapNotNull { state ->
            val weights =
                state.weights().takeIf { state.seenWeights != null || state.entry.id in loading }
                    ?: return@mapNotNull null
            EngineWeights(
                state.entry.id.value,
                state.entry.startedAtUnixMillis,
                weights.value,
                state.entry.id in loading,
            )
        }

    private companion object {
        /** Added occupancy of a plain endpoint in another failure domain. */
        const val REMOTE_SLOT_SHARE: Double = 0.1
        const val TIE_BREAK_REQUESTS: Double = 0.5

        /** Time for news of a full or loading endpoint, or of its true weights, to arrive. */
        const val AVOIDED_MILLIS: Long = 250
    }
}
