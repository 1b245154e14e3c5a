/** Measurements on a complete fleet that runs in one process. */
package lacewingweir.cli.measure

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.Json
import lacewingweir.cli.ExitCode
import lacewingweir.cli.io.CommandContext
import lacewingweir.state.placement.PlacementPolicies
import lacewingweir.transport.http.HttpClient

/** The `measure` subcommand, which runs scenarios with placement policies on embedded fleets and prints the results. */
@OptIn(ExperimentalCli::class)
internal class MeasureCommand(
    private val context: CommandContext,
) : Subcommand("measure", "Measure placement policies under load and faults") {
    private val scenarios by option(ArgType.String, "scenario", description = "Scenarios, separated by commas")
    private val policies by option(ArgType.String, "policy", description = "Placement policies, separated by commas")
    private val sites by option(ArgType.String, "site", description = "Sites, separated by commas")
    private val seconds by option(ArgType.Int, "seconds", description = "Measured time of a cell").default(8)
    private val seeds by option(
        ArgType.Int,
        "seeds",
        description = "Runs of each cell, with seeds 1, 2, ...",
    ).default(1)
    private val json by option(ArgType.Boolean, "json", description = "Print JSON").default(false)
    private val overhead by option(ArgType.Boolean, "overhead", description = "Measure the added latency instead")
        .default(false)

    override fun execute() {
        val cells = cells()
        if (cells == null || seconds <= 0) {
            context.err("measure: scenarios are ${MeasurementScenario.entries.joinToString { it.label }}")
            context.err("measure: policies are ${PlacementPolicies.all().keys.joinToString()}")
            context.err("measure: sites are ${MeasurementSite.entries.joinToString { it.label }}")
            context.exitCode = ExitCode.BAD_INPUT
            return
        }
        val group = MultiThreadIoEventLoopGroup(CLIENT_THREADS, NioIoHandler.newFactory())
        val http = HttpClient(group)
        runBlocking { if (overhead) measureOverhead(http) else measureCells(http, cells) }
        http.close()
        group.shutdownGracefully()
        context.exitCode = ExitCode.SUCCESS
    }

    private suspend fun measureOverhead(http: HttpClient) {
        for (seed in 1L..seeds) {
            val result = OverheadMeasurement(http).run(seed, seconds.toDouble())
            context.out(
                if (json) Json.encodeToString(OverheadResult.serializer(), result) else MeasureTable.overhead(result),
            )
        }
    }

    private suspend fun measureCells(
        http: HttpClient,
        cells: List<Cell>,
    ) {
        if (!json) context.out(MeasureTable.HEADER)
        val runner = CellRunner(http)
        // The result of the first run is discarded, because code that the JVM has not compiled yet slows it down.
        cells.firstOrNull()?.let {
            runner.run(
                it.copy(scenario = MeasurementScenario.CALM, seconds = DISCARDED_CELL_SECONDS),
            )
        }
        val results =
            cells.map { cell ->
                runner.run(cell).also { result ->
                    if (!json) context.out(MeasureTable.row(result))
                    result.firstBroken.forEach { context.err("measure: broken answer: $it") }
                }
            }
        if (json) context.out(Json.encodeToString(ListSerializer(CellResult.serializer()), results))
    }

    /** Returns the cells to run, or null if an option contains an unknown name. */
    private fun cells(): List<Cell>? {
        val selectedSites = selected(sites, MeasurementSite.entries, MeasurementSite::byLabel) ?: return null
        return selectedSites.flatMap { site ->
            val defaults = DEFAULT_CELLS.getValue(site)
            val selectedScenarios = selected(scenarios, defaults.first, MeasurementScenario::byLabel) ?: return null
            val selectedPolicies =
                selected(policies, defaults.second) { name -> name.takeIf { it in PlacementPolicies.all() } }
                    ?: return null
            selectedScenarios.flatMap { scenario ->
                selectedPolicies.flatMap { policy ->
                    (1L..seeds).map { Cell(site, scenario, policy, it, seconds.toDouble()) }
                }
            }
        }
    }

    /** Returns the values of the comma-separated [names], [defaults] if it is null, or null if a name is unknown. */
    private fun <T : Any> selected(
        names: String?,
        defaults: List<T>,
        byName: (String) -> T?,
    ): List<T>? {
        if (names == null) return defaults
        val values = names.split(',').map(byName)
        return if (null in values) null else values.filterNotNull()
    }

    private companion object {
        const val CLIENT_THREADS: Int = 2
        const val DISCARDED_CELL_SECONDS: Double = 4.0

        val DEFAULT_CELLS: Map<MeasurementSite, Pair<List<MeasurementScenario>, List<String>>> =
            mapOf(
                MeasurementSite.AGENCE to
                    Pair(
                        listOf(
                            MeasurementScenario.CALM,
                            MeasurementScenario.FLOOD,
                            MeasurementScenario.ENGINE_CRASH,
                            MeasurementScenario.HOT_SHIFT,
                        ),
                        PlacementPolicies.all().keys.toList(),
                    ),
                MeasurementSite.PETRA to
                    Pair(
                        listOf(MeasurementScenario.CALM, MeasurementScenario.FLOOD),
                        listOf(PlacementPolicies.PREFIX_AWARE, "least-loaded"),
                    ),
            )
    }
}
