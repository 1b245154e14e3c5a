package lacewingweir.cli.serve

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.Logger
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.required
import kotlinx.coroutines.runBlocking
import lacewingweir.cli.ExitCode
import lacewingweir.cli.io.CommandContext
import lacewingweir.cli.io.InputFiles
import lacewingweir.protocol.settings.Settings
import org.slf4j.LoggerFactory
import java.net.BindException
import java.util.concurrent.CountDownLatch

/** `serve --settings FILE`: runs an entry instance until SIGTERM, then shuts it down gracefully. */
@OptIn(ExperimentalCli::class)
internal class ServeCommand(
    private val context: CommandContext,
) : Subcommand("serve", "Run an entry instance") {
    private val settingsFile by
        option(ArgType.String, "settings", description = "Settings file (JSON)").required()

    override fun execute() {
        val settings = InputFiles.settings(context, settingsFile)
        context.exitCode = if (settings == null) ExitCode.BAD_INPUT else serve(settings)
    }

    private fun serve(settings: Settings): Int {
        (LoggerFactory.getLogger(Logger.ROOT_LOGGER_NAME) as Logger).level = Level.toLevel(settings.logLevel.name)
        val instance =
            try {
                runBlocking { EntryInstance(settings).start() }
            } catch (e: BindException) {
                context.err("can't listen: ${e.message}")
                return ExitCode.FAILED
            }
        val stopped = CountDownLatch(1)
        Runtime.getRuntime().addShutdownHook(
            Thread {
                runBlocking { instance.shutdown() }
                stopped.countDown()
            },
        )
        stopped.await()
        return ExitCode.SUCCESS
    }
}
