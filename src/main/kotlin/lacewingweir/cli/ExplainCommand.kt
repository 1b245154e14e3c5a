package lacewingweir.cli

import kotlinx.cli.ArgType
import lacewingweir.cli.io.CommandContext
import lacewingweir.cli.io.OperatorCallResult
import lacewingweir.protocol.settings.HostPort
import java.net.URLEncoder

/** `explain REQUEST_ID`: shows the trace of a request, which only the instance that served it has. */
internal class ExplainCommand(
    context: CommandContext,
) : FleetCommand(context, "explain", "Show what happened to a request") {
    private val requestId by argument(ArgType.String, "request-id", description = "Value of X-Request-Id")

    override fun run(): Int {
        val operators = operatorAddresses() ?: return ExitCode.BAD_INPUT
        val report = firstReport(operators) ?: return ExitCode.UNREACHABLE
        val peers = report.peers.map { HostPort(it.host, it.operatorPort) }
        val path = "/explain/" + URLEncoder.encode(requestId, Charsets.UTF_8)
        var silent = 0
        for (address in (operators + peers).distinct()) {
            val answer = context.operators.call(address, path)
            if (answer is OperatorCallResult.Answered && answer.status == 200) {
                context.out(answer.body)
                return ExitCode.SUCCESS
            }
            if (answer !is OperatorCallResult.Answered) {
                silent++
                context.err("$address: $answer")
            }
        }
        context.err("no instance that answered has a trace of $requestId; $silent did not answer")
        return ExitCode.FAILED
    }
}
