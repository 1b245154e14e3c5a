package lacewingweir.cli

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.required
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import lacewingweir.cli.io.CommandContext
import lacewingweir.cli.io.InputFiles
import lacewingweir.load.LoadReport
import lacewingweir.load.LoadRunner
import lacewingweir.load.LoadScenario
import lacewingweir.transport.http.HttpClient

/** `load --scenario FILE`: sends an open-loop load to instances and prints a JSON report. */
@OptIn(ExperimentalCli::class)
internal class LoadCommand(
    private val context: CommandContext,
) : Subcommand("load", "Send load to instances") {
    private val scenarioFile by option(ArgType.String, "scenario", description = "Scenario file (JSON)").required()

    override fun execute() {
        val scenario = readScenario()
        context.exitCode = if (scenario == null) ExitCode.BAD_INPUT else run(scenario)
    }

    private fun readScenario(): LoadScenario? {
        val text = InputFiles.readOrNull(scenarioFile)
        if (text == null) {
            context.err("$scenarioFile: can't be read")
            return null
        }
        return try {
            Json.decodeFromString(LoadScenario.serializer(), text)
        } catch (e: SerializationException) {
            context.err("$scenarioFile: ${e.message}")
            null
        }
    }

    /**
     * Runs [scenario] and prints the report. Fails if an answer was cut off or incomplete without an explicit error,
     * because an instance must never send such an answer.
     */
    private fun run(scenario: LoadScenario): Int {
        val group = MultiThreadIoEventLoopGroup(CLIENT_THREADS, NioIoHandler.newFactory())
        val http = HttpClient(group)
        val report = runBlocking { LoadRunner(http).run(scenario) }
        http.close()
        group.shutdownGracefully()
        context.out(reportJson.encodeToString(LoadReport.serializer(), report))
        return if (report.total.broken == 0L) ExitCode.SUCCESS else ExitCode.FAILED
    }

    private companion object {
        const val CLIENT_THREADS: Int = 2
        val reportJson = Json { prettyPrint = true }
    }
}
