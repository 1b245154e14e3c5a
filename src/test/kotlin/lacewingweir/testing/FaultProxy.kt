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
 * A TCP proxy on loopback that injects link faults in front of one target.
 *
 * Cutting a direction swallows its bytes and keeps the connection open, as a one-way link does.
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
        pump(client, upstream) { dropToTarget }
        pump(upstream, client) { dropFromTarget }
    }

    private fun pump(
        from: Socket,
        to: Socket,
        dropped: () -> Boolean,
    ) {
        thread(isDaemon = true) {
            try {
                copy(from.getInputStream(), to.getOutputStream(), dropped)
            } catch (_: java.io.IOException) {
                // Either side closed; both are closed below.
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
        dropped: () -> Boolean,
    ) {
        val buffer = ByteArray(16 * 1024)
        while (true) {
            val read = input.read(buffer)
            if (read < 0) return
            if (delayMillis > 0) Thread.sleep(delayMillis)
            if (!dropped()) output.write(buffer, 0, read)
        }
    }

    /** Closes all connections and refuses new ones until [restore]. */
    fun cut() {
        refusing = true
        sockets.forEach(Socket::close)
    }

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
