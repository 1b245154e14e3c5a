package lacewingweir.cli.standin

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import lacewingweir.standin.service.StandinService
import lacewingweir.standin.service.StandinServiceOptions

/** `standin service`: runs a [StandinService] until the process is terminated. */
@OptIn(ExperimentalCli::class)
public class ServiceCommand : Subcommand("service", "Run the stand-in of a plain service") {
    private val defaults = StandinServiceOptions()
    private val host by option(ArgType.String, "host", description = "IP address").default(defaults.host)
    private val port by option(ArgType.Int, "port", description = "port, 0 for a free one").default(defaults.port)
    private val serviceName by option(ArgType.String, "name", description = "name in answers").default(defaults.name)
    private val workMillis by
        option(ArgType.Int, "work-millis", description = "time of a request in ms").default(defaults.workMillis.toInt())
    private val capture by
        option(ArgType.Boolean, "capture", description = "include all requests in the statistics").default(false)

    override fun execute() {
        val options = StandinServiceOptions(host, port, serviceName, workMillis.toLong(), capture)
        val service = StandinService(options).start()
        runUntilTerminated("service", host, service.port, service)
    }
}
