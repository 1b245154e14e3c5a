package lacewingweir.testing

import java.io.File
import java.nio.file.Path
import java.util.concurrent.TimeUnit

/** One process of the program, started from the test's own class path. Its output goes to a file under `target`. */
internal class ProgramProcess private constructor(
    private val process: Process,
    val log: File,
) : AutoCloseable {
    val pid: Long
        get() = process.pid()

    val isAlive: Boolean
        get() = process.isAlive

    /** SIGKILL. */
    fun kill() {
        process.destroyForcibly()
        process.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS)
    }

    /** SIGTERM; returns the exit code, or null if the process is still alive after [timeoutSeconds]. */
    fun terminate(timeoutSeconds: Long = EXIT_TIMEOUT_SECONDS): Int? {
        process.destroy()
        return if (process.waitFor(timeoutSeconds, TimeUnit.SECONDS)) process.exitValue() else null
    }

    /** Waits for the process to end by itself and returns its exit code, or null if it doesn't. */
    fun awaitExit(timeoutSeconds: Long = EXIT_TIMEOUT_SECONDS): Int? =
        if (process.waitFor(timeoutSeconds, TimeUnit.SECONDS)) process.exitValue() else null

    fun pause() = signal("STOP")

    fun resume() = signal("CONT")

    private fun signal(name: String) {
        val exit = ProcessBuilder("kill", "-$name", pid.toString()).start().waitFor()
        check(exit == 0) { "could not send $name to $pid" }
    }

    override fun close() = kill()

    companion object {
        private const val EXIT_TIMEOUT_SECONDS = 20L

        fun start(
            name: String,
            vararg args: String,
            directory: Path = Path.of("target", "processes"),
        ): ProgramProcess {
            directory.toFile().mkdirs()
            val log = File.createTempFile("$name-", ".log", directory.toFile())
            val java = Path.of(System.getProperty("java.home"), "bin", "java").toString()
            val command =
                listOf(
                    java,
                    "-Xmx128m",
                    "-XX:+UseSerialGC",
                    "-XX:TieredStopAtLevel=1",
                    "-Dlogback.configurationFile=logback.xml",
                ) +
                    listOf("-cp", System.getProperty("java.class.path"), "lacewingweir.cli.MainKt") + args
            val process =
                ProcessBuilder(command)
                    .redirectErrorStream(true)
                    .redirectOutput(log)
                    .start()
            return ProgramProcess(process, log)
        }
    }
}

/** Waits for the line with which stand-in [name] says where it listens, and returns the port. */
internal fun ProgramProcess.awaitPort(name: String): Int {
    val line = Regex("standin: $name listening on [^ ]*:(\\d+)")
    repeat(200) {
        line.find(log.readText())?.let { return it.groupValues[1].toInt() }
        check(isAlive) { "$name ended: ${log.readText()}" }
        Thread.sleep(100)
    }
    error("$name did not start: ${log.readText()}")
}
