/** Entry point of the `lacewingweir` program. */
package lacewingweir.cli

import lacewingweir.cli.io.CommandContext
import lacewingweir.cli.io.EtcdStoreFactory
import kotlin.system.exitProcess

/** Runs the subcommand named by [args] and exits with its documented exit code; see [ExitCode]. */
public fun main(args: Array<String>) {
    if (args.firstOrNull() in operatorCommands) System.setProperty(LOG_LEVEL_PROPERTY, "OFF")
    System.setProperty("kotlin-logging.logStartupMessage", "false")
    exitProcess(CommandLine(CommandContext(EtcdStoreFactory::open)).run(args.toList()))
}

/** Commands whose standard output is for the operator and must not be mixed with log lines. */
private val operatorCommands = setOf("settings", "bundle", "key", "fleet", "explain", "measure")

/** Read by logback.xml when the first logger is made. */
private const val LOG_LEVEL_PROPERTY: String = "LACEWINGWEIR_LOG_LEVEL"
