package lacewingweir.cli

import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import lacewingweir.cli.io.CommandContext

/** A subcommand that only groups other subcommands. A command line that names none of them is a usage error. */
@OptIn(ExperimentalCli::class)
internal class CommandGroup(
    private val context: CommandContext,
    name: String,
    description: String,
    private val commands: List<OperatorCommand>,
) : Subcommand(name, description) {
    /**
     * Adds the subcommands. Must be called after the group itself was added to its parser, so that the usage texts of
     * the subcommands show the whole command.
     */
    fun addCommands() {
        commands.forEach { subcommands(it) }
    }

    override fun execute() {
        if (context.exitCode != null) return
        context.err("$name needs a subcommand; see lacewingweir $name --help")
        context.exitCode = ExitCode.BAD_INPUT
    }
}
