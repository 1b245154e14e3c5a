package lacewingweir.cli

import kotlinx.cli.ArgType
import kotlinx.cli.default
import lacewingweir.cli.io.CommandContext
import lacewingweir.cli.io.InputFiles
import lacewingweir.cli.operations.BundleDiff
import lacewingweir.cli.operations.BundleReview

/**
 * `bundle check FILE`: validates an unsigned bundle, prints all its mistakes, and warns of entries without any effect
 * and of limits that contradict each other. With a bundle in force, also shows what changes, and warns of what callers
 * lose.
 */
internal class BundleCheckCommand(
    context: CommandContext,
) : OperatorCommand(context, "check", "Check an unsigned bundle and show all its mistakes") {
    private val file by argument(ArgType.String, "file", description = "Bundle file")
    private val inForce by
        option(ArgType.String, "in-force", description = "Bundle in force, signed or not, to compare with")
    private val strict by
        option(ArgType.Boolean, "strict", description = "Fail with exit code 1 if there are warnings").default(false)

    override fun run(): Int {
        val bundle = InputFiles.bundle(context, file) ?: return ExitCode.BAD_INPUT
        val old = inForce?.let { InputFiles.anyBundle(context, it) ?: return ExitCode.BAD_INPUT }
        val warnings = BundleReview.findings(bundle) + old?.let { BundleReview.risks(it, bundle) }.orEmpty()
        context.out(
            "$file: bundle ${bundle.number} is valid: ${bundle.customers.size} customers, " +
                "${bundle.models.size} models, ${bundle.endpoints.size} endpoints, ${bundle.routes.size} routes",
        )
        if (old != null) BundleDiff.lines(old, bundle).forEach { context.out("  $it") }
        warnings.forEach { context.err("warning: $it") }
        return if (strict && warnings.isNotEmpty()) ExitCode.FAILED else ExitCode.SUCCESS
    }
}
