/**
 * Rolls out the weights announced by the operators to all engines.
 *
 * The holder of the rollout lease compares the weights of each engine with the announced ones and sends load commands
 * to a few engines at a time, or to all that calls may soon no longer be sent to. It always loads the newest weights,
 * even if an older version has not reached every engine. Peers learn from its digest which engines are loading and
 * which have finished. While runs are handed over from or to an engine, its command waits, for a limited time.
 */
package lacewingweir.coordination.weights

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import lacewingweir.coordination.fleet.FleetDirectory
import lacewingweir.coordination.fleet.FleetSnapshot
import lacewingweir.coordination.lease.RolloutLease
import lacewingweir.coordination.placement.EndpointTracker
import lacewingweir.coordination.placement.RunTransfers
import lacewingweir.coordination.placement.WeightsAgePolicy
import lacewingweir.coordination.time.TimerService
import lacewingweir.state.fleet.EndpointEntry
import lacewingweir.state.id.EndpointId
import lacewingweir.state.id.EndpointTag
import lacewingweir.state.id.ModelName
import lacewingweir.state.id.WeightsNumber
import lacewingweir.state.time.ClockReading
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
    private val agePolicy: WeightsAgePolicy,
    private val isInTransfer: (EndpointTag) -> Boolean,
    private val onLoadingChanged: suspend (Collection<EndpointId>) -> Unit,
    private val random: Random = Random.Default,
) {
    /** The engines on which this instance has started a load, and whether they were idle. */
    private val loadingEngines = ConcurrentHashMap<EndpointId, Boolean>()

    /** When the status of an engine could not be read. */
    private val unreachableSince = ConcurrentHashMap<EndpointId, ClockReading>()

    /** The engines on which this instance has started a load. */
    val loading: Set<EndpointId>
        get() = loadingEngines.keys

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
        val chosen = chooseLoads(snapshot, outdated)
        if (chosen.isEmpty()) return
        chosen.forEach { loadingEngines[it.engine.id] = it.isIdle }
        val chosenIds = chosen.map { it.engine.id }
        tracker.markLoading(chosenIds)
        onLoadingChanged(chosenIds)
        chosen.forEach(::startLoad)
    }

    private fun chooseLoads(
        snapshot: FleetSnapshot,
        outdated: List<OutdatedEngine>,
    ): List<OutdatedEngine> {
        val engines = snapshot.endpoints.values.filter { it.weights.isNotEmpty() && !it.leaving }
        val running = engines.sumOf { tracker.runningAt(it.id) }
        unreachableSince.values.removeIf { clock.ageMillis(it) >= UNREACHABLE_BACKOFF_MILLIS }
        val reachable = outdated.filterNot { unreachableSince.containsKey(it.engine.id) }
        val maxLoads = maxConcurrentLoads(engines.size, running, reachable.map { it.remainingMillis })
        val idleLoads = loadingEngines.values.count { it }
        val loads = LoadsInProgress(busy = loadingEngines.size - idleLoads, idle = idleLoads)
        val waiting = reachable.filter { !loadingEngines.containsKey(it.engine.id) }
        val chosen = chooseLoads(waiting, engines.size, maxLoads, loads)
        if (chosen.isNotEmpty()) {
            logger.info {
                "rollout: loading engines=${chosen.size} outdated=${outdated.size} of=${engines.size} loads=$loads " +
                    "max=$maxLoads remaining=${outdated.minOf { it.remainingMillis }} ms running=$running"
            }
        }
        return chosen
    }

    private fun outdatedEngines(snapshot: FleetSnapshot): List<OutdatedEngine> =
        snapshot.weights.flatMap { (model, target) ->
            snapshot.endpoints.values
                .filter { !it.leaving && model in it.weights }
                .filter { (tracker.weightsOf(it.id) ?: target.weights) < target.weights }
                .map { engine ->
                    val remainingMillis = agePolicy.remainingMillis(tracker.weightsOf(engine.id), target)
                    OutdatedEngine(
                        engine,
                        model,
                        target.weights,
                        remainingMillis ?: Long.MAX_VALUE,
                        tracker.runningAt(engine.id),
                    )
                }
        }

    private fun startLoad(outdated: OutdatedEngine) {
        val engine = outdated.engine
        scope.launch {
            try {
                awaitDrain(engine, outdated.remainingMillis)
                load(engine, outdated)
            } finally {
                loadingEngines.remove(engine.id)
                tracker.setLoading(engine.id, loading = false, weights = null)
                onLoadingChanged(listOf(engine.id))
            }
        }
    }

    private suspend fun load(
        engine: EndpointEntry,
        outdated: OutdatedEngine,
    ) {
        val status = statusAfterTransfers(engine, outdated.remainingMillis)
        val model = outdated.model
        val target = directory.snapshot.weights[model]?.weights ?: outdated.target
        if (status == null) {
            logger.warn { "rollout: status of engine ${engine.id} could not be read" }
            unreachableSince[engine.id] = clock.now()
            return
        }
        if (!recordIfLoaded(engine, model, target, status) && !status.busy) {
            val token = lease.fencingToken() ?: return
            val result = control.load(engine, LoadWeightsCommand(model, target, holder, token, status.commandCount))
            logger.info {
                "rollout: engine=${engine.id} weights=$target fence=$token orders=${status.commandCount} " +
                    "copies=${status.copies} answer=$result"
            }
            if (result == LoadWeightsResult.FENCED) lease.release("engine ${engine.id} has seen a higher fencing token")
            if (result == LoadWeightsResult.FENCED || result == LoadWeightsResult.REJECTED) return
        }
        awaitLoaded(engine, model, target)
    }

    /** Waits, for a limited time, until the digests show no prompts in prefill on [engine]. */
    private suspend fun awaitDrain(
        engine: EndpointEntry,
        remainingMillis: Long,
    ) {
        // No instance sends calls to the engine any more.
        if (remainingMillis <= 0) return
        delay(REPORT_PROPAGATION_MILLIS)
        // Calls that wait here are given back by the load, early enough to begin elsewhere.
        if (isUrgent(remainingMillis)) return
        repeat(MAX_DRAIN_CHECKS) {
            if (tracker.backlogAt(engine.id) == 0L) return
            tracker.setLoading(engine.id, loading = true, weights = null)
            delay(DRAIN_CHECK_PERIOD_MILLIS)
        }
    }

    /**
     * Returns the status of [engine], which has been announced to load, once no run is on its way from or to it, or
     * null if the status could not be read. The wait is limited.
     */
    private suspend fun statusAfterTransfers(
        engine: EndpointEntry,
        remainingMillis: Long,
    ): WeightsStatus? {
        val beganAt = clock.now()
        val maxWaitMillis = remainingMillis.coerceIn(MIN_TRANSFER_WAIT_MILLIS, MAX_TRANSFER_WAIT_MILLIS)
        while (clock.ageMillis(beganAt) < maxWaitMillis) {
            tracker.setLoading(engine.id, loading = true, weights = null)
            if (!isInTransfer(engine.tag)) {
                val status = control.status(engine)
                tracker.setLoading(engine.id, loading = true, weights = null)
                // A handover may have begun while the status was read.
                if (status == null || !isInTransfer(engine.tag)) return status
            }
            delay(DRAIN_CHECK_PERIOD_MILLIS)
        }
        logger.warn { "rollout: engine=${engine.id} still has runs that are handed over" }
        return control.status(engine)
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

        /** Time for which an engine takes no place among the loads after its status could not be read. */
        const val UNREACHABLE_BACKOFF_MILLIS: Long = 500

        /** Time within which all peers have received the report and send no more prompts to the engine. */
        const val REPORT_PROPAGATION_MILLIS: Long = 260
        const val DRAIN_CHECK_PERIOD_MILLIS: Long = 60
        const val MAX_DRAIN_CHECKS: Int = 8

        /** Time in which most runs that have been stopped go on, for engines that should have loaded already. */
        const val MIN_TRANSFER_WAIT_MILLIS: Long = 1_000

        /** Longer than a transfer that began before the instance knew of the load, and its report, are valid. */
        const val MAX_TRANSFER_WAIT_MILLIS: Long = RunTransfers.VALIDITY_MILLIS + REPORT_PROPAGATION_MILLIS
    }
}
