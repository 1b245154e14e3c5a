package lacewingweir.cli

import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import lacewingweir.cli.io.CommandContext

/** Parses a command line, runs its subcommand and determines the exit code. */
@OptIn(ExperimentalCli::class)
internal class CommandLine(
    private val context: CommandContext,
    private val commands: List<Subcommand> = allCommands(context),
) {
    /** Ends the parse of a command line early, for help or bad usage. */
    private class EarlyExit(
        val code: Int,
        message: String,
    ) : RuntimeException(message)

    /** Runs [args] and returns the exit code. */
    fun run(args: List<String>): Int {
        val parser = ArgParser("lacewingweir", strictSubcommandOptionsOrder = true)
        val showVersion by
            parser.option(ArgType.Boolean, "version", description = "Show the version").default(false)
        commands.forEach { parser.subcommands(it) }
        commands.filterIsInstance<CommandGroup>().forEach { it.addCommands() }
        (commands + parser).forEach(::prepare)
        val given = args.ifEmpty { listOf("--help") }
        return try {
            val result = parser.parse(given.toTypedArray())
            if (showVersion) context.out("lacewingweir ${version()}")
            val ran = showVersion || result.commandName != parser.programName
            context.exitCode ?: if (ran) ExitCode.SUCCESS else ExitCode.BAD_INPUT
        } catch (e: EarlyExit) {
            val asked = e.code == 0
            (if (asked) context.out else context.err)(e.message.orEmpty())
            if (asked && args.isNotEmpty()) ExitCode.SUCCESS else ExitCode.BAD_INPUT
        } catch (e: IllegalArgumentException) {
            context.err(e.message ?: e.toString())
            ExitCode.BAD_INPUT
        } catch (e: Exception) {
            context.err("failed: $e")
            ExitCode.FAILED
        }
    }

    /**
     * Replaces the exit of [parser] and its subcommands, and lets options after a subcommand's name belong to that.
     * The exit is replaced because kotlinx-cli ends the process with code 127 on bad
     * usage and its hook for this is not part of its public interface.
     */
    private fun prepare(parser: ArgParser) {
        val exit: (String, Int) -> Nothing = { message, code -> throw EarlyExit(code, message) }
        ArgParser::class.java
            .getMethod(
                "setOutputAndTerminate\$kotlinx_cli",
                Function2::class.java,
            ).invoke(parser, exit)
        val nested = ArgParser::class.java.getDeclaredMethod("getSubcommands").apply { isAccessible = true }
        (nested.invoke(parser) as Map<*, *>).values.forEach { if (it is ArgParser && it !== parser) prepare(it) }
    }

    private fun version(): String = CommandLine::class.java.`package`?.implementationVersion ?: "development"
}
