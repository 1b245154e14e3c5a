package lacewingweir.cli

import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import lacewingweir.cli.demo.DemoCommand
import lacewingweir.cli.io.CommandContext
import lacewingweir.cli.measure.MeasureCommand
import lacewingweir.cli.rehearse.RehearseCommand
import lacewingweir.cli.router.RouteCommand
import lacewingweir.cli.serve.ServeCommand
import lacewingweir.cli.standin.StandinCommand

/** Returns all subcommands of the program. */
@OptIn(ExperimentalCli::class)
internal fun allCommands(context: CommandContext): List<Subcommand> =
    listOf(
        CommandGroup(context, "settings", "Settings of an instance", listOf(SettingsCheckCommand(context))),
        CommandGroup(
            context,
            "bundle",
            "Bundles of customers, keys, rates, routes, models and endpoints",
            listOf(
                BundleKeygenCommand(context),
                BundleCheckCommand(context),
                BundleSignCommand(context),
                BundlePublishCommand(context),
                BundleStatusCommand(context),
                BundleDiffCommand(context),
            ),
        ),
        CommandGroup(context, "key", "Callers' keys", listOf(KeyGrantCommand(context), KeyWithdrawCommand(context))),
        CommandGroup(context, "fleet", "The instances", listOf(FleetStatusCommand(context))),
        ExplainCommand(context),
        ServeCommand(context),
        RouteCommand(context),
        RehearseCommand(context),
        LoadCommand(context),
        DemoCommand(),
        MeasureCommand(context),
        StandinCommand(),
    )
