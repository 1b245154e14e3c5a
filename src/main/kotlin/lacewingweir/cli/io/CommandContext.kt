/** Gives the subcommands access to input files, output, the store and the operator ports of instances. */
package lacewingweir.cli.io

import lacewingweir.protocol.settings.HostPort

/**
 * The environment in which subcommands run. Tests replace its parts.
 *
 * [openStore] connects to the store at the given addresses. [out] and [err] print a line to the standard output and the
 * standard error.
 */
public class CommandContext(
    public val openStore: (addresses: List<HostPort>) -> StoreHandle,
    public val operators: OperatorClient = OperatorClient(),
    public val out: (line: String) -> Unit = ::println,
    public val err: (line: String) -> Unit = { System.err.println(it) },
) {
    /** The exit code, set by the subcommand that ran; null if none did. */
    public var exitCode: Int? = null
}
