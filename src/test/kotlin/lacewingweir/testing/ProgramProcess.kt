package lacewingweir.testing

import java.io.File
import java.nio.file.Path
import java.util.Locale
import java.util.concurrent.TimeUnit

/** A process of the program, started with the class path of the test. Its output is written to the file [log]. */
internal class ProgramProcess private constructor(
    private val process: Process,
    val log: File,
) : AutoCloseable {
    val pid: Long
        get() = process.pid()

    val isAlive: Boolean
        get() = process.isAlive

    /** The exit code, or null while the process is alive. */
    val exitCode: Int?
        get() = if (process.isAlive) null else process.exitValue()

    /** Sends SIGKILL and waits for the process to exit. */
    fun kill() {
        process.destroyForcibly()
        process.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS)
    }

    /** Sends SIGTERM and returns the exit code, or null if the process is still alive after [timeoutSeconds]. */
    fun terminate(timeoutSeconds: Long = EXIT_TIMEOUT_SECONDS): Int? {
        process.destroy()
        return if (process.waitFor(timeoutSeconds, TimeUnit.SECONDS)) process.exitValue() else null
    }

    /** Waits for the process to exit and returns its exit code, or null if it is still alive after [timeoutSeconds]. */
    fun awaitExit(timeoutSeconds: Long = EXIT_TIMEOUT_SECONDS): Int? =
        if (process.waitFor(timeoutSeconds, TimeUnit.SECONDS)) process.exitValue() else null

    /** Sends SIGTERM and doesn't wait for the process to exit. */
    fun beginTermination() = signal("TERM")

    fun hangUp() = signal("HUP")

    fun pause() = signal("STOP")

    fun resume() = signal("CONT")

    /**
     * Stops the process for [millis], and returns for how long it was stopped at most. One shell does both, since
     * starting a second one may take long on a busy machine.
     */
    fun pauseFor(millis: Long): Long {
        val startNanos = System.nanoTime()
        val seconds = String.format(Locale.ROOT, "%.3f", millis / 1_000.0)
        ProcessBuilder("sh", "-c", "kill -STOP $pid; sleep $seconds; kill -CONT $pid").start().waitFor()
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos)
    }

    private fun signal(name: String) {
        val exitCode = ProcessBuilder("kill", "-$name", pid.toString()).start().waitFor()
        check(exitCode == 0) { "could not send $name to $pid" }
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

/** Waits for the log line with the address on which stand-in [name] listens, and returns its port. */
internal fun ProgramProcess.awaitPort(name: String): Int {
    val listeningLine = Regex("standin: $name listening on [^ ]*:(\\d+)")
    repeat(200) {
        listeningLine.find(log.readText())?.let { return it.groupValues[1].toInt() }
        check(isAlive) { "$name exited: ${log.readText()}" }
        Thread.sleep(100)
    }
    error("$name did not start: ${log.readText()}")
}
