package lacewingweir.cli

import lacewingweir.cli.io.CommandContext

/** `bundle status`: prints the bundle number of each instance. Fails if the numbers differ. */
internal class BundleStatusCommand(
    context: CommandContext,
) : FleetCommand(context, "status", "Show which instances have which bundle in force") {
    override fun run(): Int {
        val operators = operatorAddresses() ?: return ExitCode.BAD_INPUT
        val report = firstReport(operators) ?: return ExitCode.UNREACHABLE
        val numbers =
            listOf(report.instance.name to report.instance.bundle) + report.peers.map { it.name to it.bundle }
        val highest = numbers.maxOf { it.second }
        context.out("highest bundle in force: $highest")
        for ((name, number) in numbers.sortedBy { it.first }) {
            context.out("  $name $number" + if (number < highest) " lags" else "")
        }
        report.refusedBundles.forEach {
            context.out("  refused by ${report.instance.name}: ${it.operationId} from ${it.source}: ${it.reason}")
        }
        return if (numbers.all { it.second == highest }) ExitCode.SUCCESS else ExitCode.FAILED
    }
}
