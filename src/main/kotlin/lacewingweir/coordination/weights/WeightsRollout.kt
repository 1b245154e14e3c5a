/**
 * Brings engines to the weights that the operators named.
 *
 * The holder of the rollout lease compares what engines run with what is named, a few engines at a time, and orders
 * the newest weights even where older ones have not arrived everywhere. Peers learn from its digest which engines are
 * loading and which are done.
 */
package lacewingweir.coordination.weights

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import lacewingweir.coordination.fleet.FleetDirectory
import lacewingweir.coordination.fleet.FleetSnapshot
import lacewingweir.coordination.placement.EndpointBoard
import lacewingweir.coordination.time.TimerService
import lacewingweir.state.fleet.EndpointEntry
import lacewingweir.state.id.EndpointId
import lacewingweir.state.id.ModelName
import lacewingweir.state.id.WeightsNumber
import lacewingweir.state.time.SuspendAwareClock
import java.util.concurrent.ConcurrentHashMap
import kotlin.random.Random

private val logger = KotlinLogging.logger {}

internal class WeightsRollout(
    private val directory: FleetDirectory,
    private val board: EndpointBoard,
    private val control: WeightsControl,
    private val lease: RolloutLease,
    private val timers: TimerService,
    private val scope: CoroutineScope,
    private val holder: String,
    private val clock: SuspendAwareClock,
    private val onLoadingChanged: suspend () -> Unit,
    private val random: Random = Random.Default,
) {
    private val inProgress = ConcurrentHashMap.newKeySet<EndpointId>()

    /** Engines that this instance has ordered to load. */
    val loading: Set<EndpointId>
        get() = inProgress

    @Volatile
    private var stopped = false

    fun start() {
        timers.every("rollout", TICK_MILLIS) { tick() }
        timers.every("rollout lease", RENEW_MILLIS) { keepLease() }
    }

    suspend fun stop() {
        stopped = true
        lease.release("instance stops")
    }

    private suspend fun keepLease() {
        if (stopped) return
        if (lease.holding) {
            lease.renew()
            return
        }
        val snapshot = directory.snapshot
        if (snapshot.rolloutLeaderPresent || snapshot.weights.isEmpty()) return
        delay(random.nextLong(ACQUIRE_SPREAD_MILLIS))
        if (!directory.snapshot.rolloutLeaderPresent && !stopped) lease.acquire()
    }

    private suspend fun tick() {
        if (stopped || lease.fencingToken() == null) return
        val snapshot = directory.snapshot
        val stale = staleEngines(snapshot)
        if (stale.isEmpty()) return
        val room = loadsAtOnce(snapshot) - inProgress.size
        val chosen =
            stale
                .filter { (engine) -> engine.id !in inProgress }
                .sortedWith(compareBy<Stale> { !overdue(snapshot, it) }.thenBy { board.runningAt(it.engine.id) })
                .take(room.coerceAtLeast(0))
        if (chosen.isEmpty()) return
        chosen.forEach { inProgress.add(it.engine.id) }
        board.announceLoads(chosen.map { it.engine.id })
        onLoadingChanged()
        chosen.forEach { (engine, model, target) -> begin(engine, model, target) }
    }

    private data class Stale(
        val engine: EndpointEntry,
        val model: ModelName,
        val target: WeightsNumber,
    )

    private fun staleEngines(snapshot: FleetSnapshot): List<Stale> =
        snapshot.weights.flatMap { (model, target) ->
            snapshot.endpoints.values
                .filter { !it.leaving && model in it.weights }
                .filter { (board.weightsOf(it.id) ?: target.weights) < target.weights }
                .map { Stale(it, model, target.weights) }
        }

    private fun loadsAtOnce(snapshot: FleetSnapshot): Int {
        val engines = snapshot.endpoints.values.filter { it.weights.isNotEmpty() && !it.leaving }
        return loadsAtOnce(engines.size, engines.sumOf { board.runningAt(it.id) })
    }

    /** Engines that stay outdated for too long go first, whatever runs there. */
    private fun overdue(
        snapshot: FleetSnapshot,
        stale: Stale,
    ): Boolean {
        val since = snapshot.weights[stale.model]?.outdatedSince(board.weightsOf(stale.engine.id)) ?: return false
        return clock.ageMillis(since) > OVERDUE_MILLIS
    }

    private fun begin(
        engine: EndpointEntry,
        model: ModelName,
        target: WeightsNumber,
    ) {
        scope.launch {
            try {
                load(engine, model, target)
            } finally {
                inProgress.remove(engine.id)
                board.setLoading(engine.id, loading = false, weights = null)
                onLoadingChanged()
            }
        }
    }

    private suspend fun load(
        engine: EndpointEntry,
        model: ModelName,
        target: WeightsNumber,
    ) {
        settle(engine)
        val status = control.status(engine)
        if (status == null) {
            logger.warn { "rollout: engine ${engine.id} gives no status" }
            delay(UNREACHABLE_PAUSE_MILLIS)
            return
        }
        if (!done(engine, model, target, status) && !status.busy) {
            val fencingToken = lease.fencingToken() ?: return
            val answer = control.load(engine, LoadCommand(model, target, holder, fencingToken, status.commandCount))
            logger.info {
                "rollout: order engine=${engine.id} weights=$target fence=$fencingToken orders=${status.commandCount} answer=$answer"
            }
            if (answer == LoadResult.FENCED) lease.release("engine ${engine.id} has seen a higher fence")
            if (answer == LoadResult.FENCED || answer == LoadResult.REJECTED) return
        }
        awaitLoaded(engine, model, target)
    }

    /**
     * Waits until the prompts that the engine was reading have got to their first token, as far as the digests tell.
     */
    private suspend fun settle(engine: EndpointEntry) {
        delay(SETTLE_MILLIS)
        repeat(SETTLE_CHECKS) {
            if (board.backlogAt(engine.id) == 0L) return
            board.setLoading(engine.id, loading = true, weights = null)
            delay(SETTLE_CHECK_MILLIS)
        }
    }

    private suspend fun awaitLoaded(
        engine: EndpointEntry,
        model: ModelName,
        target: WeightsNumber,
    ) {
        var idleReports = 0
        repeat(MAX_REPORTS) {
            board.setLoading(engine.id, loading = true, weights = null)
            delay(REPORT_PERIOD_MILLIS)
            val status = control.status(engine) ?: return
            if (done(engine, model, target, status)) return
            // An order that got lost shows as an engine that is idle with its former weights.
            idleReports = if (status.busy) 0 else idleReports + 1
            if (idleReports >= IDLE_REPORTS_TO_REPEAT) return
        }
    }

    private fun done(
        engine: EndpointEntry,
        model: ModelName,
        target: WeightsNumber,
        status: EngineStatus,
    ): Boolean {
        val loaded = status.weights[model] ?: return false
        if (loaded < target || status.busy) return false
        logger.info { "rollout: engine=${engine.id} has weights=$loaded" }
        board.setLoading(engine.id, loading = false, weights = loaded)
        return true
    }

    private companion object {
        /** Delay before a newly named version reaches the first engine. */
        const val TICK_MILLIS: Long = 100

        /** Several renewals fit into the usable part of a lease of 3 s. */
        const val RENEW_MILLIS: Long = 600

        /** Keeps instances that saw the lease end together from all claiming it. */
        const val ACQUIRE_SPREAD_MILLIS: Long = 300

        /** Engines report their state with a delay of about 100 ms. */
        const val REPORT_PERIOD_MILLIS: Long = 120
        const val IDLE_REPORTS_TO_REPEAT: Int = 4
        const val MAX_REPORTS: Int = 60
        const val UNREACHABLE_PAUSE_MILLIS: Long = 500

        /** Half of the time that the platform grants for new weights. */
        const val OVERDUE_MILLIS: Long = 4_000

        /** Digests of all peers arrive within this time, so that the engine gets no more prompts. */
        const val SETTLE_MILLIS: Long = 260
        const val SETTLE_CHECK_MILLIS: Long = 60
        const val SETTLE_CHECKS: Int = 8
    }
}
