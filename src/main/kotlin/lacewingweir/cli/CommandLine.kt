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
    /** Thrown to stop the parsing of a command line, for help or after a usage error. */
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
        (commands + parser).forEach(::replaceExit)
        val effectiveArgs = args.ifEmpty { listOf("--help") }
        return try {
            val result = parser.parse(effectiveArgs.toTypedArray())
            if (showVersion) context.out("lacewingweir ${version()}")
            val commandRan = showVersion || result.commandName != parser.programName
            context.exitCode ?: if (commandRan) ExitCode.SUCCESS else ExitCode.BAD_INPUT
        } catch (e: EarlyExit) {
            val requested = e.code == 0
            (if (requested) context.out else context.err)(e.message.orEmpty())
            if (requested && args.isNotEmpty()) ExitCode.SUCCESS else ExitCode.BAD_INPUT
        } catch (e: IllegalArgumentException) {
            context.err(e.message ?: e.toString())
            ExitCode.BAD_INPUT
        } catch (e: Exception) {
            context.err("failed: $e")
            ExitCode.FAILED
        }
    }

    /**
     * Makes [parser] and the parsers of its subcommands throw [EarlyExit] instead of ending the process.
     *
     * On a usage error kotlinx-cli ends the process with exit code 127. The hook that replaces this is not part of its
     * public interface, so it is called by reflection.
     */
    private fun replaceExit(parser: ArgParser) {
        val exit: (String, Int) -> Nothing = { message, code -> throw EarlyExit(code, message) }
        ArgParser::class.java
            .getMethod(
                "setOutputAndTerminate\$kotlinx_cli",
                Function2::class.java,
            ).invoke(parser, exit)
        val getter = ArgParser::class.java.getDeclaredMethod("getSubcommands").apply { isAccessible = true }
        (getter.invoke(parser) as Map<*, *>).values.forEach { if (it is ArgParser && it !== parser) replaceExit(it) }
    }

    private fun version(): String = CommandLine::class.java.`package`?.implementationVersion ?: "development"
}
