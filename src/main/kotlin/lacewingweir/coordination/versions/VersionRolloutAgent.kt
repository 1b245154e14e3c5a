/**
 * Decides on the steps of rollouts of software versions while this instance holds their lease, and writes them.
 *
 * Steps and statuses are written in one transaction, conditional on the revisions of the lease and of the steps, so
 * that a holder that has lost its lease writes nothing, and none of them is written without the other.
 */
package lacewingweir.coordination.versions

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.delay
import lacewingweir.coordination.fleet.FleetSnapshot
import lacewingweir.coordination.fleet.StoredRollouts
import lacewingweir.coordination.lease.RolloutLease
import lacewingweir.coordination.store.ClusterStore
import lacewingweir.coordination.store.CommitResult
import lacewingweir.coordination.store.StoreTransaction
import lacewingweir.coordination.store.StoreWrite
import lacewingweir.coordination.store.valueOrNull
import lacewingweir.coordination.time.TimerService
import lacewingweir.state.id.EndpointId
import lacewingweir.state.id.ServiceName
import lacewingweir.state.id.SoftwareVersion
import lacewingweir.state.time.MonotonicClock
import lacewingweir.state.versions.RolloutPhase
import lacewingweir.state.versions.RolloutStep
import kotlin.random.Random

private val logger = KotlinLogging.logger {}

/** The keys and formats of the items of rollouts. */
internal class RolloutItems(
    val leaseKey: String,
    val stepsKey: String,
    val statusPrefix: String,
    val encodeSteps: (Collection<RolloutStep>, Map<ServiceName, Set<SoftwareVersion>>) -> ByteArray,
    val encodeStatus: (RolloutStep) -> ByteArray,
    val stateOf: (RolloutPhase) -> String,
)

/** [runningAt] returns the calls that run or wait at an endpoint, those of peers included. */
internal class VersionRolloutAgent(
    private val store: ClusterStore,
    private val rollouts: VersionRollouts,
    private val lease: RolloutLease,
    private val items: RolloutItems,
    private val timers: TimerService,
    private val clock: MonotonicClock,
    private val fleet: () -> FleetSnapshot,
    private val runningAt: (EndpointId) -> Int,
    private val random: Random = Random.Default,
    private val pause: suspend (millis: Long) -> Unit = { delay(it) },
) {
    @Volatile
    private var stopped = false

    /** The revision of the last own write, which the mirror may not show yet. */
    private var writtenRevision = 0L
    private var writtenMillis = 0L
    private var loggedMillis = clock.nowMillis()

    fun start() {
        timers.every("version rollouts", PERIOD_MILLIS) { step() }
        timers.every("version rollout lease", RENEW_MILLIS) { maintainLease() }
    }

    suspend fun stop() {
        stopped = true
        lease.release("instance is stopping")
    }

    /** The lease is needed while there is something to write, and left to others by an instance that hears no peers. */
    private suspend fun maintainLease() {
        if (stopped) return
        val needed = isWriteNeeded(fleet().rollouts)
        val hearsPeers = rollouts.hearsPeers
        when {
            lease.isHeld && !hearsPeers -> lease.release("no digests from peers")
            lease.isHeld -> if (needed) lease.renew() else lease.release("no rollout")
            needed && hearsPeers && !fleet().rollouts.leaderPresent -> {
                pause(random.nextLong(ACQUIRE_SPREAD_MILLIS + fleet().peers.size * ACQUIRE_SPREAD_PER_INSTANCE_MILLIS))
                if (!stopped && !fleet().rollouts.leaderPresent) lease.acquire()
            }
        }
    }

    private fun isWriteNeeded(stored: StoredRollouts): Boolean {
        val steps = rollouts.nextSteps(runningAt)
        return isItemOutdated(steps, stored) ||
            steps.values.any { !it.phase.isFinal } ||
            steps.values.any { isStatusMissing(it, stored) }
    }

    private fun isItemOutdated(
        steps: Map<ServiceName, RolloutStep>,
        stored: StoredRollouts,
    ): Boolean = steps != stored.steps || !stored.readable || isBaselineMissing(stored)

    private fun isBaselineMissing(stored: StoredRollouts): Boolean =
        rollouts.baseline?.let { it != stored.allowed } ?: false

    private fun isStatusMissing(
        step: RolloutStep,
        stored: StoredRollouts,
    ): Boolean {
        val status = stored.statuses[step.service]
        if (status == null && step.service !in stored.orders) return false
        return status?.target != step.target || status.state != items.stateOf(step.phase)
    }

    private suspend fun step() {
        rollouts.check()
        val fence = lease.fencingToken()
        report(isHolder = fence != null)
        val stored = fleet().rollouts
        if (stopped || fence == null || awaitsMirror(stored)) return
        val steps = rollouts.nextSteps(runningAt)
        val statuses = steps.values.filter { isStatusMissing(it, stored) }
        if (statuses.isEmpty() && !isItemOutdated(steps, stored)) return
        val changed = steps.values.filter { stored.steps[it.service] != it }
        write(stored, steps, statuses, fence, changed)
    }

    /** A restored store may have lost the item, so the wait for it ends. */
    private fun awaitsMirror(stored: StoredRollouts) =
        stored.revision < writtenRevision && clock.nowMillis() - writtenMillis < MIRROR_MILLIS

    private suspend fun write(
        stored: StoredRollouts,
        steps: Map<ServiceName, RolloutStep>,
        statuses: List<RolloutStep>,
        fence: Long,
        changed: List<RolloutStep>,
    ) {
        val item = StoreWrite(items.stepsKey, items.encodeSteps(steps.values, rollouts.baseline ?: stored.allowed))
        val statusWrites =
            statuses.map { StoreWrite(items.statusPrefix + it.service.value, items.encodeStatus(it)) }
        val expected = mapOf(items.leaseKey to fence, items.stepsKey to stored.revision)
        val result = store.commit(StoreTransaction(expected, listOf(item) + statusWrites))
        val committed = result.valueOrNull() as? CommitResult.Committed
        if (committed != null) {
            writtenRevision = committed.revision
            writtenMillis = clock.nowMillis()
        }
        for (step in changed) {
            logger.info {
                "version-rollout: service=${step.service} target=${step.target} phase=${step.phase} " +
                    "before=${stored.steps[step.service]?.phase} share=${step.share} old=${step.old} " +
                    "order=${step.orderRevision} result=$result ${rollouts.describe(step.service)}"
            }
        }
        if (changed.isEmpty()) logger.info { "version-rollout: items written statuses=${statuses.size} result=$result" }
    }

    /** Reports the rollouts that run. Each instance does, since its share and its evidence may differ from others'. */
    private fun report(isHolder: Boolean) {
        if (clock.nowMillis() - loggedMillis < LOG_MILLIS) return
        loggedMillis = clock.nowMillis()
        for (figures in rollouts.figures()) {
            logger.info { "version-rollout: running $figures holder=$isHolder hearsPeers=${rollouts.hearsPeers}" }
        }
    }

    private companion object {
        /** Bounds the delay of a rollback by the lease holder. */
        const val PERIOD_MILLIS: Long = 250

        /** Allows for several renewals within the usable part of a lease of 3 s. */
        const val RENEW_MILLIS: Long = 600

        /** Spreads the acquisition attempts of instances that notice the end of the lease at the same time. */
        const val ACQUIRE_SPREAD_MILLIS: Long = 300

        /** In a large fleet, the first attempt still comes soon, and few others before it is known. */
        const val ACQUIRE_SPREAD_PER_INSTANCE_MILLIS: Long = 25
        const val LOG_MILLIS: Long = 5_000

        /** Exceeds the time until a change reaches the mirror of an instance that the store serves. */
        const val MIRROR_MILLIS: Long = 4_000
    }
}
