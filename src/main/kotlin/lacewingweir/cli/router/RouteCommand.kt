package lacewingweir.cli.router

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.coroutines.runBlocking
import lacewingweir.cli.ExitCode
import lacewingweir.cli.io.CommandContext
import lacewingweir.protocol.settings.RouterSettings
import lacewingweir.protocol.settings.RouterSettingsResult
import lacewingweir.state.stop.SignalTime
import sun.misc.Signal
import java.io.File
import java.io.IOException
import java.net.BindException
import java.util.concurrent.CompletableFuture

private val logger = KotlinLogging.logger {}

/**
 * `route [--settings FILE]`: runs a router on the operators' platform until SIGTERM. Without the option, the
 * environment variable LACEWINGWEIR_CONFIG names the settings file. On SIGHUP the file is read again and a log
 * line says whether it changed; changes take effect at the next start.
 */
@OptIn(ExperimentalCli::class)
internal class RouteCommand(
    private val context: CommandContext,
) : Subcommand("route", "Run a router on the operators' platform") {
    private val settingsFile by option(ArgType.String, "settings", description = "Settings file (JSON)")

    override fun execute() {
        val path = settingsFile ?: System.getenv(SETTINGS_VARIABLE)
        if (path == null) {
            context.err("no settings file: use --settings or set $SETTINGS_VARIABLE")
            context.exitCode = ExitCode.BAD_INPUT
            return
        }
        val settings = readSettings(path)
        context.exitCode = if (settings == null) ExitCode.BAD_INPUT else run(path, settings)
    }

    private fun readSettings(path: String): RouterSettings? {
        val text =
            try {
                File(path).readText()
            } catch (e: IOException) {
                context.err("$path: ${e.message}")
                return null
            }
        return when (val result = RouterSettings.parse(text)) {
            is RouterSettingsResult.Valid -> result.settings
            is RouterSettingsResult.Invalid -> {
                result.errors.forEach { context.err("$path: $it") }
                null
            }
        }
    }

    private fun run(
        path: String,
        settings: RouterSettings,
    ): Int {
        val instance = RouterInstance(settings)
        val terminated = CompletableFuture<SignalTime>()
        Signal.handle(Signal("TERM")) { terminated.complete(instance.signalNow()) }
        Signal.handle(Signal("HUP")) { reload(path, settings) }
        try {
            runBlocking { instance.start() }
        } catch (e: BindException) {
            logger.error { "router: can't listen at ${e.message}" }
            context.err("can't listen at ${e.message}")
            return ExitCode.FAILED
        }
        val signal = terminated.join()
        runBlocking { instance.shutdown(signal) }
        return ExitCode.SUCCESS
    }

    private fun reload(
        path: String,
        current: RouterSettings,
    ) {
        val latest = readSettings(path)
        logger.info {
            "router: settings read again, ${if (latest == current) "unchanged" else "changes apply at the next start"}"
        }
    }

    private companion object {
        const val SETTINGS_VARIABLE = "LACEWINGWEIR_CONFIG"
    }
}
