/**
 * Rolls out the weights announced by the operators to all engines.
 *
 * The holder of the rollout lease compares the weights of each engine with the announced ones and sends load commands
 * to a few engines at a time. It always loads the newest weights, even if an older version has not reached every
 * engine. Peers learn from its digest which engines are loading and which have finished.
 */
package lacewingweir.coordination.weights

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import lacewingweir.coordination.fleet.FleetDirectory
import lacewingweir.coordination.fleet.FleetSnapshot
import lacewingweir.coordination.placement.EndpointTracker
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
    private val tracker: EndpointTracker,
    private val control: WeightsControl,
    private val lease: RolloutLease,
    private val timers: TimerService,
    private val scope: CoroutineScope,
    private val holder: String,
    private val clock: SuspendAwareClock,
    private val onLoadingChanged: suspend (Collection<EndpointId>) -> Unit,
    private val random: Random = Random.Default,
) {
    private val loadingEngines = ConcurrentHashMap.newKeySet<EndpointId>()

    /** The engines on which this instance has started a load. */
    val loading: Set<EndpointId>
        get() = loadingEngines

    @Volatile
    private var stopped = false

    fun start() {
        timers.every("rollout", PERIOD_MILLIS) { startLoads() }
        timers.every("rollout lease", RENEW_MILLIS) { maintainLease() }
    }

    suspend fun stop() {
        stopped = true
        lease.release("instance is stopping")
    }

    private suspend fun maintainLease() {
        if (stopped) return
        if (lease.isHeld) {
            lease.renew()
            return
        }
        val snapshot = directory.snapshot
        if (snapshot.rolloutLeaderPresent || snapshot.weights.isEmpty()) return
        delay(random.nextLong(ACQUIRE_SPREAD_MILLIS))
        if (!directory.snapshot.rolloutLeaderPresent && !stopped) lease.acquire()
    }

    private suspend fun startLoads() {
        if (stopped || lease.fencingToken() == null) return
        val snapshot = directory.snapshot
        val outdated = outdatedEngines(snapshot)
        if (outdated.isEmpty()) return
        val freeLoads = maxConcurrentLoads(snapshot) - loadingEngines.size
        val chosen =
            outdated
                .filter { (engine) -> engine.id !in loadingEngines }
                .sortedWith(
                    compareBy<OutdatedEngine> { !isOverdue(snapshot, it) }.thenBy { tracker.runningAt(it.engine.id) },
                ).take(freeLoads.coerceAtLeast(0))
        if (chosen.isEmpty()) return
        chosen.forEach { loadingEngines.add(it.engine.id) }
        val chosenIds = chosen.map { it.engine.id }
        tracker.markLoading(chosenIds)
        onLoadingChanged(chosenIds)
        chosen.forEach { (engine, model, target) -> startLoad(engine, model, target) }
    }

    private data class OutdatedEngine(
        val engine: EndpointEntry,
        val model: ModelName,
        val target: WeightsNumber,
    )

    private fun outdatedEngines(snapshot: FleetSnapshot): List<OutdatedEngine> =
        snapshot.weights.flatMap { (model, target) ->
            snapshot.endpoints.values
                .filter { !it.leaving && model in it.weights }
                .filter { (tracker.weightsOf(it.id) ?: target.weights) < target.weights }
                .map { OutdatedEngine(it, model, target.weights) }
        }

    private fun maxConcurrentLoads(snapshot: FleetSnapshot): Int {
        val engines = snapshot.endpoints.values.filter { it.weights.isNotEmpty() && !it.leaving }
        return maxConcurrentLoads(engines.size, engines.sumOf { tracker.runningAt(it.id) })
    }

    /** Returns whether the engine has been outdated for so long that it is loaded first, regardless of its load. */
    private fun isOverdue(
        snapshot: FleetSnapshot,
        outdated: OutdatedEngine,
    ): Boolean {
        val since =
            snapshot.weights[outdated.model]?.outdatedSince(tracker.weightsOf(outdated.engine.id)) ?: return false
        return clock.ageMillis(since) > OVERDUE_MILLIS
    }

    private fun startLoad(
        engine: EndpointEntry,
        model: ModelName,
        target: WeightsNumber,
    ) {
        scope.launch {
            try {
                load(engine, model, target)
            } finally {
                loadingEngines.remove(engine.id)
                tracker.setLoading(engine.id, loading = false, weights = null)
                onLoadingChanged(listOf(engine.id))
            }
        }
    }

    private suspend fun load(
        engine: EndpointEntry,
        model: ModelName,
        target: WeightsNumber,
    ) {
        awaitDrain(engine)
        val status = control.status(engine)
        if (status == null) {
            logger.warn { "rollout: status of engine ${engine.id} could not be read" }
            delay(UNREACHABLE_BACKOFF_MILLIS)
            return
        }
        if (!recordIfLoaded(engine, model, target, status) && !status.busy) {
            val token = lease.fencingToken() ?: return
            val result = control.load(engine, LoadWeightsCommand(model, target, holder, token, status.commandCount))
            logger.info {
                "rollout: engine=${engine.id} weights=$target fence=$token orders=${status.commandCount} answer=$result"
            }
            if (result == LoadWeightsResult.FENCED) lease.release("engine ${engine.id} has seen a higher fencing token")
            if (result == LoadWeightsResult.FENCED || result == LoadWeightsResult.REJECTED) return
        }
        awaitLoaded(engine, model, target)
    }

    /** Waits, for a limited time, until the digests show no prompts in prefill on [engine]. */
    private suspend fun awaitDrain(engine: EndpointEntry) {
        delay(REPORT_PROPAGATION_MILLIS)
        repeat(MAX_DRAIN_CHECKS) {
            if (tracker.backlogAt(engine.id) == 0L) return
            tracker.setLoading(engine.id, loading = true, weights = null)
            delay(DRAIN_CHECK_PERIOD_MILLIS)
        }
    }

    private suspend fun awaitLoaded(
        engine: EndpointEntry,
        model: ModelName,
        target: WeightsNumber,
    ) {
        var idleStatuses = 0
        repeat(MAX_STATUS_CHECKS) {
            tracker.setLoading(engine.id, loading = true, weights = null)
            delay(STATUS_PERIOD_MILLIS)
            val status = control.status(engine) ?: return
            if (recordIfLoaded(engine, model, target, status)) return
            // If the command was lost, the engine stays idle with its previous weights.
            idleStatuses = if (status.busy) 0 else idleStatuses + 1
            if (idleStatuses >= IDLE_STATUSES_BEFORE_RETRY) return
        }
    }

    private fun recordIfLoaded(
        engine: EndpointEntry,
        model: ModelName,
        target: WeightsNumber,
        status: WeightsStatus,
    ): Boolean {
        val loaded = status.weights[model] ?: return false
        if (loaded < target || status.busy) return false
        logger.info { "rollout: engine=${engine.id} has weights=$loaded" }
        tracker.setLoading(engine.id, loading = false, weights = loaded)
        return true
    }

    private companion object {
        /** Bounds the delay until a newly announced version is loaded on the first engine. */
        const val PERIOD_MILLIS: Long = 100

        /** Allows for several renewals within the usable part of a lease of 3 s. */
        const val RENEW_MILLIS: Long = 600

        /** Spreads the acquisition attempts of instances that notice the end of the lease at the same time. */
        const val ACQUIRE_SPREAD_MILLIS: Long = 300

        /** Engines report their state with a delay of about 100 ms. */
        const val STATUS_PERIOD_MILLIS: Long = 120
        const val IDLE_STATUSES_BEFORE_RETRY: Int = 4
        const val MAX_STATUS_CHECKS: Int = 60
        const val UNREACHABLE_BACKOFF_MILLIS: Long = 500

        /** Half of the time that the platform allows for loading new weights. */
        const val OVERDUE_MILLIS: Long = 4_000

        /** Time within which all peers have received the report and send no more prompts to the engine. */
        const val REPORT_PROPAGATION_MILLIS: Long = 260
        const val DRAIN_CHECK_PERIOD_MILLIS: Long = 60
        const val MAX_DRAIN_CHECKS: Int = 8
    }
}
