package lacewingweir.cli

import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import lacewingweir.cli.io.CommandContext
import lacewingweir.protocol.settings.HostPort

/** A subcommand for operators. */
@OptIn(ExperimentalCli::class)
internal abstract class OperatorCommand(
    protected val context: CommandContext,
    name: String,
    description: String,
) : Subcommand(name, description) {
    /** Runs the subcommand and returns the exit code. */
    abstract fun run(): Int

    override fun execute() {
        context.exitCode = run()
    }

    /** Parses the addresses in [texts]. Returns null after printing the malformed ones. */
    protected fun parseAddresses(texts: List<String>): List<HostPort>? {
        val parsed = texts.associateWith { HostPort.parse(it) }
        val malformed = parsed.filterValues { it == null }.keys
        malformed.forEach { context.err("$it: expected <IP address>:<port>") }
        return if (malformed.isEmpty()) parsed.values.filterNotNull() else null
    }
}
