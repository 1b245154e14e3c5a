package lacewingweir.cli

import kotlinx.cli.ArgType
import lacewingweir.cli.io.CommandContext
import lacewingweir.cli.io.OperatorCallResult
import lacewingweir.protocol.settings.HostPort
import java.net.URLEncoder

/** `explain REQUEST_ID`: prints the trace of a request, which only the instance that served the request holds. */
internal class ExplainCommand(
    context: CommandContext,
) : FleetCommand(context, "explain", "Show what happened to a request") {
    private val requestId by argument(ArgType.String, "request-id", description = "Value of the X-Request-Id header")

    override fun run(): Int {
        val operators = operatorAddresses() ?: return ExitCode.BAD_INPUT
        val report = firstReport(operators) ?: return ExitCode.UNREACHABLE
        val peers = report.peers.map { HostPort(it.host, it.operatorPort) }
        val path = "/explain/" + URLEncoder.encode(requestId, Charsets.UTF_8)
        var unansweredCalls = 0
        for (address in (operators + peers).distinct()) {
            val result = context.operators.call(address, path)
            if (result is OperatorCallResult.Answered && result.status == 200) {
                context.out(result.body)
                return ExitCode.SUCCESS
            }
            if (result !is OperatorCallResult.Answered) {
                unansweredCalls++
                context.err("$address: $result")
            }
        }
        context.err("no instance that answered has a trace of $requestId; $unansweredCalls did not answer")
        return ExitCode.FAILED
    }
}
