package lacewingweir.cli.standin

import java.util.concurrent.CountDownLatch

/** Prints the address of the stand-in [name], waits until the process is terminated, and then closes [resource]. */
internal fun runUntilTerminated(
    name: String,
    host: String,
    port: Int,
    resource: AutoCloseable,
) {
    Runtime.getRuntime().addShutdownHook(Thread { resource.close() })
    println("standin: $name listening on $host:$port")
    CountDownLatch(1).await()
}
