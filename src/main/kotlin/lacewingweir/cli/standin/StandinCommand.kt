/** Subcommands that run the stand-ins of external systems as processes. */
package lacewingweir.cli.standin

import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand

/** The `standin` subcommand, which has a subcommand for each stand-in. */
@OptIn(ExperimentalCli::class)
public class StandinCommand : Subcommand("standin", "Run a stand-in of an outside system until SIGTERM") {
    init {
        subcommands(PlatformCommand(), EngineCommand(), ServiceCommand())
    }

    override fun execute(): Unit = Unit
}
