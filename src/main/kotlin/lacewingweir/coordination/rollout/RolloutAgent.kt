/** Rollout of model weights to engines by one leader of the fleet. */
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
 * Takes part in the election of the rollout leader and, while it leads, brings the engines to the bundle's weights.
 *
 * Each pass reads the status of all engines and compares it with the bundle; nothing is remembered between passes, so
 * that lost commands and late ones of a former leader are repaired. Right before each command the agent checks that
 * its leadership lasts longer than the command. A pause between the check and the send can still let an old command
 * out; it carries the old fencing number, and where an engine ignores that, the present leader's next pass corrects
 * it.
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

    /** The fencing number of this instance's leadership, or null while it doesn't lead. */
    public val fencingToken: Long?
        get() = leadership.fencingToken()

    /** Runs a pass every period until the subscription is cancelled. */
    public fun start(timers: TimerService): Subscription =
        timers.every("rollout", settings.periodMillis) { reconcile() }

    /** Renews or seeks the leadership and, if it is held, reconciles the engines with the bundle once. */
    public suspend fun reconcile() {
        leadership.update()
        if (leadership.fencingToken(settings.commandMillis) == null) return
        val bundle = bundles.current() ?: return
        val orders = RolloutPlanner.plan(bundle, reports(bundle))
        coroutineScope { orders.map { async { execute(bundle, it) } }.awaitAll() }
    }

    /** Gives up the leadership at a graceful shutdown. */
    public suspend fun resign() {
        leadership.resign()
    }

    private suspend fun reports(bundle: Bundle): Map<EndpointId, EngineReport> {
        val permits = Semaphore(settings.parallelReports)
        val engines = bundle.endpoints.filter { it.kind == EndpointKind.ENGINE }
        return coroutineScope {
            engines
                .map { engine -> async { permits.withPermit { report(engine) } } }
                .awaitAll()
                .filterNotNull()
                .toMap()
        }
    }

    private suspend fun report(engine: Endpoint): Pair<EndpointId, EngineReport>? {
        val status = control.status(engine) ?: return null
        val models = status.models.associate { it.name to ModelReport(it.weights, it.loading) }
        return engine.id to EngineReport(status.leaving, models)
    }

    private suspend fun execute(
        bundle: Bundle,
        order: PlannedLoad,
    ) {
        val engine = bundle.endpoint(order.engine) ?: return
        val fencingToken = leadership.fencingToken(settings.commandMillis)
        if (fencingToken == null) {
            logger.warn { "rollout: leadership ends too soon to order a load on ${order.engine}" }
            return
        }
        when (val result = control.load(engine, order.model, order.weights, fencingToken)) {
            CommandResult.Accepted ->
                logger.info { "rollout: ${order.engine} loads ${order.model} ${order.weights}, fencing $fencingToken" }
            CommandResult.Fenced -> {
                logger.warn { "rollout: ${order.engine} has seen a higher number than $fencingToken" }
                leadership.raiseFencingToken()
            }
            is CommandResult.Failed -> logger.warn { "rollout: load on ${order.engine} failed: ${result.reason}" }
        }
    }
}
