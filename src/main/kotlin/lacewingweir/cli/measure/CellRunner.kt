package lacewingweir.cli.measure

import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import lacewingweir.cli.demo.EmbeddedFleet
import lacewingweir.load.LoadRunner
import lacewingweir.load.LoadScenario
import lacewingweir.standin.engine.StandinEngineFaults
import lacewingweir.standin.platform.PlatformOutage
import lacewingweir.standin.platform.StandinPlatformFaults
import lacewingweir.state.placement.PlacementPolicies
import lacewingweir.transport.http.HttpClient
import java.util.concurrent.ConcurrentLinkedQueue

/** Runs cells, each on a separate fleet. */
internal class CellRunner(
    private val http: HttpClient,
) {
    private var nextCallerPort = FIRST_PORT

    suspend fun run(cell: Cell): CellResult {
        val policy = checkNotNull(PlacementPolicies.byName(cell.policy)) { "no policy ${cell.policy}" }
        // Restarted instances bind the same ports again. Every cell uses new ports, because those of an earlier cell
        // may still be in TIME_WAIT.
        val firstCallerPort = if (cell.scenario == MeasurementScenario.HERD_RESTART) nextCallerPort else 0
        nextCallerPort += PORT_STEP
        return EmbeddedFleet(cell.site.fleet(policy, firstCallerPort)).use { fleet ->
            fleet.start()
            val samples = ConcurrentLinkedQueue<RequestSample>()
            coroutineScope {
                launch { injectFault(cell, fleet) }
                LoadRunner(http) { samples.add(RequestSample.of(it)) }.run(loadScenario(cell, fleet))
            }
            CellStatistics.of(cell, samples.toList(), WARMUP_SECONDS)
        }
    }

    private fun loadScenario(
        cell: Cell,
        fleet: EmbeddedFleet,
    ): LoadScenario =
        LoadScenario(
            name = cell.scenario.label,
            seed = cell.seed,
            durationSeconds = WARMUP_SECONDS + cell.seconds,
            warmupSeconds = WARMUP_SECONDS,
            targets = fleet.callerTargets,
            targetWeights = MeasurementSite.BALANCER_WEIGHTS,
            customers = cell.site.load(cell.scenario, surgeFromSeconds = WARMUP_SECONDS),
        )

    /** Injects the scenario's fault after a quarter of the measured time. */
    private suspend fun injectFault(
        cell: Cell,
        fleet: EmbeddedFleet,
    ) {
        delay(((WARMUP_SECONDS + cell.seconds / 4) * MILLIS_PER_SECOND).toLong())
        when (cell.scenario) {
            MeasurementScenario.CALM, MeasurementScenario.HOT_SHIFT, MeasurementScenario.FLOOD -> Unit
            MeasurementScenario.ENGINE_CRASH -> {
                fleet.engines[0].setFaults(StandinEngineFaults(hang = true, reset = true))
                delay((cell.seconds / 3 * MILLIS_PER_SECOND).toLong())
                fleet.engines[0].setFaults(StandinEngineFaults())
            }
            MeasurementScenario.DOMAIN_LOSS -> cell.site.firstDomainEngines.forEach { fleet.engines[it].close() }
            MeasurementScenario.ROLLOUT -> fleet.publish(models = listOf(MeasurementSite.model("v2")))
            MeasurementScenario.HERD_RESTART -> restartAllButOne(fleet)
            MeasurementScenario.STORE_OUTAGE ->
                fleet.platform.setFaults(StandinPlatformFaults(down = PlatformOutage.REFUSE))
        }
    }

    private suspend fun restartAllButOne(fleet: EmbeddedFleet) {
        fleet.instances.drop(1).forEach { fleet.crashInstance(it) }
        for (index in 1 until MeasurementSite.INSTANCES) fleet.startInstance(index)
    }

    private companion object {
        const val WARMUP_SECONDS: Double = 3.0
        const val MILLIS_PER_SECOND: Double = 1_000.0
        const val FIRST_PORT: Int = 21_000
        const val PORT_STEP: Int = 10
    }
}
