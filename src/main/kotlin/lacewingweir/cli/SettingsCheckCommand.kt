package lacewingweir.cli

import kotlinx.cli.ArgType
import lacewingweir.cli.io.CommandContext
import lacewingweir.cli.io.InputFiles

/** `settings check FILE`: validates a settings file and prints all its mistakes. */
internal class SettingsCheckCommand(
    context: CommandContext,
) : OperatorCommand(context, "check", "Check a settings file and show all its mistakes") {
    private val file by argument(ArgType.String, "file", description = "Settings file")

    override fun run(): Int {
        val settings = InputFiles.settings(context, file) ?: return ExitCode.BAD_INPUT
        context.out("$file: settings of instance ${settings.name} are valid")
        return ExitCode.SUCCESS
    }
}
