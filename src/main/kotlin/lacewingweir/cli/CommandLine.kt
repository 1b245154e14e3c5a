package lacewingweir.cli

import kotlinx.cli.ArgParser
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
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
        if (args == listOf("--version")) {
            context.out("lacewingweir ${version()}")
            return ExitCode.DONE
        }
        val parser = ArgParser("lacewingweir")
        commands.forEach { parser.subcommands(it) }
        (commands + parser).forEach(::redirectExit)
        val given = args.ifEmpty { listOf("--help") }
        return try {
            val result = parser.parse(given.toTypedArray())
            context.exitCode ?: if (result.commandName == parser.programName) ExitCode.BAD_INPUT else ExitCode.DONE
        } catch (e: EarlyExit) {
            val asked = e.code == 0
            (if (asked) context.out else context.err)(e.message.orEmpty())
            if (asked && args.isNotEmpty()) ExitCode.DONE else ExitCode.BAD_INPUT
        } catch (e: IllegalArgumentException) {
            context.err(e.message ?: e.toString())
            ExitCode.BAD_INPUT
        } catch (e: Exception) {
            context.err("failed: $e")
            ExitCode.FAILED
        }
    }

    /**
     * Replaces the exit of [parser] and its subcommands, because kotlinx-cli ends the process with code 127 on bad
     * usage and its hook for this is not part of its public interface.
     */
    private fun redirectExit(parser: ArgParser) {
        val exit: (String, Int) -> Nothing = { message, code -> throw EarlyExit(code, message) }
        ArgParser::class.java
            .getMethod(
                "setOutputAndTerminate\$kotlinx_cli",
                Function2::class.java,
            ).invoke(parser, exit)
        val nested = ArgParser::class.java.getDeclaredMethod("getSubcommands").apply { isAccessible = true }
        (nested.invoke(parser) as Map<*, *>).values.forEach { if (it is ArgParser && it !== parser) redirectExit(it) }
    }

    private fun version(): String = CommandLine::class.java.`package`?.implementationVersion ?: "development"
}
