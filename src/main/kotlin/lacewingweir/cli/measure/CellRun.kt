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

/** Runs [Cell]s, each on a fleet of its own. */
internal class CellRun(
    private val http: HttpClient,
) {
    private var nextPort = FIRST_PORT

    suspend fun run(cell: Cell): CellResult {
        val policy = checkNotNull(PlacementPolicies.byName(cell.policy)) { "no policy ${cell.policy}" }
        // Restarted instances need their ports again; a cell gets new ones, as old ones may still be in TIME_WAIT.
        val port = if (cell.scenario == MeasuredScenario.HERD_RESTART) nextPort else 0
        nextPort += PORT_STEP
        return EmbeddedFleet(cell.site.fleet(policy, port)).use { fleet ->
            fleet.start()
            val samples = ConcurrentLinkedQueue<Sample>()
            coroutineScope {
                launch { disturb(cell, fleet) }
                LoadRunner(http) { samples.add(Sample.of(it)) }.run(load(cell, fleet))
            }
            CellFigures.of(cell, samples.toList(), WARMUP_SECONDS)
        }
    }

    private fun load(
        cell: Cell,
        fleet: EmbeddedFleet,
    ): LoadScenario =
        LoadScenario(
            name = cell.scenario.label,
            seed = cell.seed,
            durationSeconds = WARMUP_SECONDS + cell.seconds,
            warmupSeconds = WARMUP_SECONDS,
            targets = fleet.callerTargets,
            targetWeights = MeasuredSite.BALANCER_WEIGHTS,
            customers = cell.site.load(cell.scenario, surgeFromSeconds = WARMUP_SECONDS),
        )

    /** Brings the scenario's fault about a quarter into the measured time. */
    private suspend fun disturb(
        cell: Cell,
        fleet: EmbeddedFleet,
    ) {
        delay(((WARMUP_SECONDS + cell.seconds / 4) * MILLIS_PER_SECOND).toLong())
        when (cell.scenario) {
            MeasuredScenario.CALM, MeasuredScenario.HOT_SHIFT, MeasuredScenario.FLOOD -> Unit
            MeasuredScenario.ENGINE_CRASH -> {
                fleet.engines[0].setFaults(StandinEngineFaults(hang = true, reset = true))
                delay((cell.seconds / 3 * MILLIS_PER_SECOND).toLong())
                fleet.engines[0].setFaults(StandinEngineFaults())
            }
            MeasuredScenario.DOMAIN_LOSS -> cell.site.firstDomainEngines.forEach { fleet.engines[it].close() }
            MeasuredScenario.ROLLOUT -> fleet.publish(models = listOf(MeasuredSite.model("v2")))
            MeasuredScenario.HERD_RESTART -> restartAllButOne(fleet)
            MeasuredScenario.STORE_OUTAGE ->
                fleet.platform.setFaults(StandinPlatformFaults(down = PlatformOutage.REFUSE))
        }
    }

    private suspend fun restartAllButOne(fleet: EmbeddedFleet) {
        fleet.instances.drop(1).forEach { fleet.crashInstance(it) }
        for (index in 1 until MeasuredSite.INSTANCES) fleet.startInstance(index)
    }

    private companion object {
        const val WARMUP_SECONDS: Double = 3.0
        const val MILLIS_PER_SECOND: Double = 1_000.0
        const val FIRST_PORT: Int = 21_000
        const val PORT_STEP: Int = 10
    }
}
