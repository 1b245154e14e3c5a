package lacewingweir.cli.standin

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import lacewingweir.standin.platform.StandinPlatform
import lacewingweir.standin.platform.StandinPlatformOptions

/** `standin platform`: runs a [StandinPlatform] until the process is terminated. */
@OptIn(ExperimentalCli::class)
public class PlatformCommand : Subcommand("platform", "Run the stand-in of the platform's key-value service") {
    private val defaults = StandinPlatformOptions()
    private val host by option(ArgType.String, "host", description = "IP address").default(defaults.host)
    private val port by option(ArgType.Int, "port", description = "port, 0 for a free one").default(defaults.port)
    private val controlPort by
        option(
            ArgType.Int,
            "control-port",
            description = "port for faults and statistics",
        ).default(defaults.controlPort)
    private val writesPerSecond by
        option(ArgType.Int, "writes-per-second", description = "rate limit of writes").default(defaults.writesPerSecond)
    private val readsPerSecond by
        option(ArgType.Int, "reads-per-second", description = "rate limit of reads").default(defaults.readsPerSecond)
    private val seed by option(ArgType.Int, "seed", description = "random seed of the injected faults").default(1)

    override fun execute() {
        val options =
            StandinPlatformOptions(
                host,
                port,
                controlPort,
                writesPerSecond = writesPerSecond,
                readsPerSecond = readsPerSecond,
                seed = seed.toLong(),
            )
        val platform = StandinPlatform(options).start()
        println("standin: platform control listening on $host:${platform.controlPort}")
        runUntilTerminated("platform", host, platform.port, platform)
    }
}
