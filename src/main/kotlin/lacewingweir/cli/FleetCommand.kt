package lacewingweir.cli

import kotlinx.cli.ArgType
import kotlinx.cli.multiple
import kotlinx.cli.required
import lacewingweir.cli.io.CommandContext
import lacewingweir.cli.io.OperatorCallResult
import lacewingweir.protocol.operator.FleetReport
import lacewingweir.protocol.operator.OperatorJson
import lacewingweir.protocol.settings.HostPort

/** A subcommand that queries instances through their operator ports. */
internal abstract class FleetCommand(
    context: CommandContext,
    name: String,
    description: String,
) : OperatorCommand(context, name, description) {
    private val operatorTexts by
        option(ArgType.String, "operator", description = "Operator port <IP>:<port> of an instance, may be repeated")
            .required()
            .multiple()

    /** Returns the addresses on the command line, or null after printing the malformed ones. */
    protected fun operatorAddresses(): List<HostPort>? = parseAddresses(operatorTexts)

    /** Returns the report of the first instance that gives one, or null if none does. Prints each failed call. */
    protected fun firstReport(operators: List<HostPort>): FleetReport? {
        for (address in operators) {
            val result = context.operators.call(address, "/fleet")
            val report =
                (result as? OperatorCallResult.Answered)
                    ?.takeIf { it.status == 200 }
                    ?.let { OperatorJson.decode(FleetReport.serializer(), it.body) }
            if (report != null) return report
            context.err("$address: $result")
        }
        return null
    }
}
