package lacewingweir.cli

import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import lacewingweir.cli.io.CommandContext

/** A subcommand that has subcommands of its own and does nothing without one. */
@OptIn(ExperimentalCli::class)
internal class CommandGroup(
    private val context: CommandContext,
    name: String,
    description: String,
    private val commands: List<OperatorCommand>,
) : Subcommand(name, description) {
    /** Adds the subcommands. Called when the group itself was added, so that their usage shows the whole command. */
    fun addCommands() {
        commands.forEach { subcommands(it) }
    }

    override fun execute() {
        if (context.exitCode != null) return
        context.err("$name needs a subcommand; see lacewingweir $name --help")
        context.exitCode = ExitCode.BAD_INPUT
    }
}
