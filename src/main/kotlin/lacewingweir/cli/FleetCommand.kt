package lacewingweir.cli

import kotlinx.cli.ArgType
import kotlinx.cli.multiple
import kotlinx.cli.required
import lacewingweir.cli.io.CommandContext
import lacewingweir.cli.io.OperatorCallResult
import lacewingweir.protocol.operator.FleetReport
import lacewingweir.protocol.operator.OperatorJson
import lacewingweir.protocol.settings.HostPort

/** A subcommand that asks instances at their operator ports. */
internal abstract class FleetCommand(
    context: CommandContext,
    name: String,
    description: String,
) : OperatorCommand(context, name, description) {
    private val operatorTexts by
        option(ArgType.String, "operator", description = "Operator port <IP>:<port> of an instance, may be repeated")
            .required()
            .multiple()

    /** The addresses given; null after a malformed one was shown. */
    protected fun operatorAddresses(): List<HostPort>? = addresses(operatorTexts)

    /** The view of the first instance that answers. Shows why the others did not. */
    protected fun firstReport(operators: List<HostPort>): FleetReport? {
        for (address in operators) {
            val answer = context.operators.call(address, "/fleet")
            val report =
                (answer as? OperatorCallResult.Answered)
                    ?.takeIf { it.status == 200 }
                    ?.let { OperatorJson.decode(FleetReport.serializer(), it.body) }
            if (report != null) return report
            context.err("$address: $answer")
        }
        return null
    }
}
