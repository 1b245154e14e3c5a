/** Rollout of model weights to engines by one elected leader of the fleet. */
package lacewingweir.coordination.rollout

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.sync.withPermit
import lacewingweir.coordination.bundle.BundleSource
import lacewingweir.coordination.store.ConfigStore
import lacewingweir.coordination.time.Subscription
import lacewingweir.coordination.time.TimerService
import lacewingweir.state.bundle.Bundle
import lacewingweir.state.bundle.Endpoint
import lacewingweir.state.bundle.EndpointKind
import lacewingweir.state.id.EndpointId
import lacewingweir.state.id.InstanceName
import lacewingweir.state.rollout.EngineReport
import lacewingweir.state.rollout.ModelReport
import lacewingweir.state.rollout.PlannedLoad
import lacewingweir.state.rollout.RolloutPlanner
import lacewingweir.state.time.MonotonicClock
import kotlin.random.Random

private val logger = KotlinLogging.logger {}

/**
 * Takes part in the election of the rollout leader and, while leading, reconciles the engines with the bundle's
 * weights.
 *
 * Each pass reads the status of all engines and compares it with the bundle. No state is kept between passes, so that
 * the effects of lost commands and of late commands from a previous leader are repaired. Immediately before each
 * command the agent checks that its leadership outlasts the command. If the process is paused between the check and the
 * send, a stale command can still be sent. It carries the old fencing token, and if an engine ignores fencing tokens,
 * the next pass of the current leader corrects the result.
 */
public class RolloutAgent(
    self: InstanceName,
    store: ConfigStore,
    private val bundles: BundleSource,
    private val control: EngineControl,
    clock: MonotonicClock = MonotonicClock.SYSTEM,
    private val settings: RolloutSettings = RolloutSettings(),
    random: Random = Random.Default,
) {
    private val leadership =
        RolloutLeadership(self, store, clock, random, settings.leaseMillis, settings.periodMillis)

    /** The fencing token of this instance's leadership, or null while it isn't the leader. */
    public val fencingToken: Long?
        get() = leadership.fencingToken()

    /** Calls [reconcile] periodically until the returned subscription is cancelled. */
    public fun start(timers: TimerService): Subscription =
        timers.every("rollout", settings.periodMillis) { reconcile() }

    /** Renews or tries to acquire the leadership and, if it is held, reconciles the engines with the bundle once. */
    public suspend fun reconcile() {
        leadership.update()
        if (leadership.fencingToken(settings.commandMillis) == null) return
        val bundle = bundles.current() ?: return
        val plannedLoads = RolloutPlanner.plan(bundle, readReports(bundle))
        coroutineScope { plannedLoads.map { async { commandLoad(bundle, it) } }.awaitAll() }
    }

    /** Resigns as rollout leader on graceful shutdown. */
    public suspend fun resign() {
        leadership.resign()
    }

    private suspend fun readReports(bundle: Bundle): Map<EndpointId, EngineReport> {
        val permits = Semaphore(settings.parallelReports)
        val engines = bundle.endpoints.filter { it.kind == EndpointKind.ENGINE }
        return coroutineScope {
            engines
                .map { engine -> async { permits.withPermit { readReport(engine) } } }
                .awaitAll()
                .filterNotNull()
                .toMap()
        }
    }

    private suspend fun readReport(engine: Endpoint): Pair<EndpointId, EngineReport>? {
        val status = control.status(engine) ?: return null
        val models = status.models.associate { it.name to ModelReport(it.weights, it.loading) }
        return engine.id to EngineReport(status.leaving, models)
    }

    private suspend fun commandLoad(
        bundle: Bundle,
        load: PlannedLoad,
    ) {
        val engine = bundle.endpoint(load.engine) ?: return
        val fencingToken = leadership.fencingToken(settings.commandMillis)
        if (fencingToken == null) {
            logger.warn { "rollout: leadership ends too soon to command a load on ${load.engine}" }
            return
        }
        when (val result = control.load(engine, load.model, load.weights, fencingToken)) {
            CommandResult.Accepted ->
                logger.info {
                    "rollout: ${load.engine} loads ${load.model} ${load.weights}, fencing token $fencingToken"
                }
            CommandResult.Fenced -> {
                logger.warn { "rollout: ${load.engine} has seen a higher fencing token than $fencingToken" }
                leadership.raiseFencingToken()
            }
            is CommandResult.Failed -> logger.warn { "rollout: load on ${load.engine} failed: ${result.reason}" }
        }
    }
}
