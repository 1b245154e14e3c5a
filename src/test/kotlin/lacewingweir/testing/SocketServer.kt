package lacewingweir.testing

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread

/**
 * A server on plain sockets that reads the beginning of one request on each connection, at most 4 KiB of it. A test
 * chooses with [respond] what it does then. Connections are served one after the other and stay open until [respond]
 * or the client closes them.
 */
internal class SocketServer(
    private val respond: (Socket) -> Unit,
) : AutoCloseable {
    private val listener = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
    private val sockets = CopyOnWriteArrayList<Socket>()

    val port: Int
        get() = listener.localPort

    init {
        thread(isDaemon = true) {
            while (!listener.isClosed) {
                try {
                    val socket = listener.accept().also { sockets += it }
                    socket.tcpNoDelay = true
                    socket.getInputStream().read(ByteArray(REQUEST_BYTES))
                    respond(socket)
                } catch (_: IOException) {
                    // The client has closed the connection, or the test has ended.
                }
            }
        }
    }

    override fun close() {
        listener.close()
        sockets.forEach { it.close() }
    }

    private companion object {
        const val BACKLOG = 50
        const val REQUEST_BYTES = 4_096
    }
}

/** Writes [text], one byte for each character. */
internal fun Socket.write(text: String) =
    getOutputStream().run {
        write(text.toByteArray(Charsets.ISO_8859_1))
        flush()
    }

/** Closes the connection with a reset. */
internal fun Socket.reset() {
    setSoLinger(true, 0)
    close()
}
