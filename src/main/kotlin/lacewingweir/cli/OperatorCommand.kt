package lacewingweir.cli

import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import lacewingweir.cli.io.CommandContext
import lacewingweir.protocol.settings.HostPort

/** A subcommand of operators. [run] returns the exit code. */
@OptIn(ExperimentalCli::class)
internal abstract class OperatorCommand(
    protected val context: CommandContext,
    name: String,
    description: String,
) : Subcommand(name, description) {
    abstract fun run(): Int

    override fun execute() {
        context.exitCode = run()
    }

    /** The addresses in [texts]; null after a malformed one was shown. */
    protected fun addresses(texts: List<String>): List<HostPort>? {
        val parsed = texts.associateWith { HostPort.parse(it) }
        val malformed = parsed.filterValues { it == null }.keys
        malformed.forEach { context.err("$it: expected <IP address>:<port>") }
        return if (malformed.isEmpty()) parsed.values.filterNotNull() else null
    }
}
