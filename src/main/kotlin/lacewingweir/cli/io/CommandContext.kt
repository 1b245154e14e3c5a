/** What the operators' subcommands use of their surroundings. */
package lacewingweir.cli.io

import lacewingweir.protocol.settings.HostPort

/**
 * Output, store and operator ports as the subcommands see them. [exitCode] is set by the subcommand that ran and is
 * null if none did.
 */
public class CommandContext(
    public val openStore: (addresses: List<HostPort>) -> StoreHandle,
    public val operators: OperatorClient = OperatorClient(),
    public val out: (line: String) -> Unit = ::println,
    public val err: (line: String) -> Unit = { System.err.println(it) },
) {
    /** Exit code of the subcommand that ran. */
    public var exitCode: Int? = null
}
