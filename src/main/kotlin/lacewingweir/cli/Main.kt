/** Entry point of the `lacewingweir` program. */
package lacewingweir.cli

import kotlinx.cli.ArgParser
import kotlinx.cli.ExperimentalCli
import lacewingweir.cli.demo.DemoCommand
import lacewingweir.cli.standin.StandinCommand

/** Runs the subcommand named by [args] and exits with its documented exit code. */
@OptIn(ExperimentalCli::class)
public fun main(args: Array<String>) {
    val parser = ArgParser("lacewingweir")
    parser.subcommands(DemoCommand(), StandinCommand())
    parser.parse(args)
}
