package lacewingweir.testing

import java.io.InputStream
import java.io.OutputStream
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.net.SocketException
import java.util.concurrent.ConcurrentHashMap
import kotlin.concurrent.thread

/**
 * A TCP proxy on loopback that injects link faults into connections to [targetPort].
 *
 * [dropToTarget] and [dropFromTarget] discard the bytes of one direction and keep the connection open, as a one-way
 * link failure does. [delayMillis] delays every block of bytes in both directions.
 */
internal class FaultProxy(
    private val targetPort: Int,
) : AutoCloseable {
    private val server = ServerSocket()
    private val sockets: MutableSet<Socket> = ConcurrentHashMap.newKeySet()

    @Volatile
    var dropToTarget: Boolean = false

    @Volatile
    var dropFromTarget: Boolean = false

    @Volatile
    var delayMillis: Long = 0

    @Volatile
    private var refusing = false

    val port: Int

    init {
        server.reuseAddress = true
        server.bind(InetSocketAddress("127.0.0.1", 0))
        port = server.localPort
        thread(isDaemon = true, name = "fault-proxy-$port") { acceptLoop() }
    }

    private fun acceptLoop() {
        while (!server.isClosed) {
            val client =
                try {
                    server.accept()
                } catch (_: SocketException) {
                    return
                }
            if (refusing) client.close() else connect(client)
        }
    }

    private fun connect(client: Socket) {
        val upstream =
            try {
                Socket("127.0.0.1", targetPort)
            } catch (_: java.io.IOException) {
                client.close()
                return
            }
        sockets += client
        sockets += upstream
        forward(client, upstream) { dropToTarget }
        forward(upstream, client) { dropFromTarget }
    }

    private fun forward(
        from: Socket,
        to: Socket,
        isDropped: () -> Boolean,
    ) {
        thread(isDaemon = true) {
            try {
                copy(from.getInputStream(), to.getOutputStream(), isDropped)
            } catch (_: java.io.IOException) {
                // One side closed its connection; both are closed below.
            }
            from.close()
            to.close()
            sockets -= from
            sockets -= to
        }
    }

    private fun copy(
        input: InputStream,
        output: OutputStream,
        isDropped: () -> Boolean,
    ) {
        val buffer = ByteArray(16 * 1024)
        while (true) {
            val count = input.read(buffer)
            if (count < 0) return
            if (delayMillis > 0) Thread.sleep(delayMillis)
            if (!isDropped()) output.write(buffer, 0, count)
        }
    }

    /** Closes all connections and refuses new ones until [restore]. */
    fun cut() {
        refusing = true
        sockets.forEach(Socket::close)
    }

    /** Removes all faults. Connections that [cut] closed stay closed. */
    fun restore() {
        refusing = false
        dropToTarget = false
        dropFromTarget = false
        delayMillis = 0
    }

    override fun close() {
        server.close()
        sockets.forEach(Socket::close)
    }
}
