/** Entry point of the `lacewingweir` program. */
package lacewingweir.cli

import lacewingweir.cli.io.CommandContext
import lacewingweir.cli.io.EtcdStoreFactory
import kotlin.system.exitProcess

/** Runs the subcommand named by [args] and exits with one of the codes of [ExitCode]. */
public fun main(args: Array<String>) {
    if (args.firstOrNull() in commandsWithoutLog) System.setProperty(LOG_LEVEL_PROPERTY, "OFF")
    System.setProperty("kotlin-logging.logStartupMessage", "false")
    exitProcess(CommandLine(CommandContext(EtcdStoreFactory::open)).run(args.toList()))
}

/** Commands whose standard output is read by operators and must not contain log lines. */
private val commandsWithoutLog = setOf("settings", "bundle", "key", "fleet", "explain", "measure")

/** System property that logback.xml reads when the first logger is created, so it must be set before. */
private const val LOG_LEVEL_PROPERTY: String = "LACEWINGWEIR_LOG_LEVEL"
