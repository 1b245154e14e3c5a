package lacewingweir.cli

import kotlinx.cli.ArgType
import lacewingweir.cli.io.CommandContext
import lacewingweir.cli.io.InputFiles

/** `bundle check FILE`: validates an unsigned bundle and prints all its mistakes. */
internal class BundleCheckCommand(
    context: CommandContext,
) : OperatorCommand(context, "check", "Check an unsigned bundle and show all its mistakes") {
    private val file by argument(ArgType.String, "file", description = "Bundle file")

    override fun run(): Int {
        val bundle = InputFiles.bundle(context, file) ?: return ExitCode.BAD_INPUT
        context.out(
            "$file: bundle ${bundle.number} is valid: ${bundle.customers.size} customers, " +
                "${bundle.models.size} models, ${bundle.endpoints.size} endpoints, ${bundle.routes.size} routes",
        )
        return ExitCode.SUCCESS
    }
}
