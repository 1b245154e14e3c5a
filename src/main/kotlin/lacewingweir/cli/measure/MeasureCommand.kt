/** Measurements of a whole fleet in one process. */
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

/** `measure`: runs scenarios with placement policies on embedded fleets and prints their figures. */
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
            context.err("measure: scenarios are ${MeasuredScenario.entries.joinToString { it.label }}")
            context.err("measure: policies are ${PlacementPolicies.all().keys.joinToString()}")
            context.err("measure: sites are ${MeasuredSite.entries.joinToString { it.label }}")
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
            val result = OverheadRun(http).run(seed, seconds.toDouble())
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
        val run = CellRun(http)
        // A discarded cell, since the code that the JVM has not compiled yet slows the first one down.
        cells.firstOrNull()?.let { run.run(it.copy(scenario = MeasuredScenario.CALM, seconds = WARM_UP_SECONDS)) }
        val results =
            cells.map { cell ->
                run.run(cell).also { result ->
                    if (!json) context.out(MeasureTable.row(result))
                    result.firstBroken.forEach { context.err("measure: broken answer: $it") }
                }
            }
        if (json) context.out(Json.encodeToString(ListSerializer(CellResult.serializer()), results))
    }

    /** The cells to run, or null if an option names something unknown. */
    private fun cells(): List<Cell>? {
        val chosenSites = chosen(sites, MeasuredSite.entries, MeasuredSite::byLabel) ?: return null
        return chosenSites.flatMap { site ->
            val defaults = DEFAULT_CELLS.getValue(site)
            val chosenScenarios = chosen(scenarios, defaults.first, MeasuredScenario::byLabel) ?: return null
            val chosenPolicies =
                chosen(policies, defaults.second) { name -> name.takeIf { it in PlacementPolicies.all() } }
                    ?: return null
            chosenScenarios.flatMap { scenario ->
                chosenPolicies.flatMap { policy ->
                    (1L..seeds).map { Cell(site, scenario, policy, it, seconds.toDouble()) }
                }
            }
        }
    }

    private fun <T : Any> chosen(
        names: String?,
        defaults: List<T>,
        byName: (String) -> T?,
    ): List<T>? {
        if (names == null) return defaults
        val found = names.split(',').map(byName)
        return if (null in found) null else found.filterNotNull()
    }

    private companion object {
        const val CLIENT_THREADS: Int = 2
        const val WARM_UP_SECONDS: Double = 4.0

        val DEFAULT_CELLS: Map<MeasuredSite, Pair<List<MeasuredScenario>, List<String>>> =
            mapOf(
                MeasuredSite.AGENCE to
                    Pair(
                        listOf(
                            MeasuredScenario.CALM,
                            MeasuredScenario.FLOOD,
                            MeasuredScenario.ENGINE_CRASH,
                            MeasuredScenario.HOT_SHIFT,
                        ),
                        PlacementPolicies.all().keys.toList(),
                    ),
                MeasuredSite.PETRA to
                    Pair(
                        listOf(MeasuredScenario.CALM, MeasuredScenario.FLOOD),
                        listOf(PlacementPolicies.PREFIX_AWARE, "least-loaded"),
                    ),
            )
    }
}
