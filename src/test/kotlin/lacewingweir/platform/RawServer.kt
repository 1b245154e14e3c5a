package lacewingweir.platform

import java.io.BufferedInputStream
import java.io.IOException
import java.io.InputStream
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

/**
 * A server on plain sockets, whose bytes a test chooses. Servers with the same [sends] count them together.
 *
 * [onHead] is called before the body of a request is read, and [onRequest] after that.
 */
internal class RawServer(
    receiveBufferBytes: Int? = null,
    private val sends: Sends = Sends(),
    private val onHead: Connection.(Request) -> Unit = {},
    private val onRequest: Connection.(Request) -> Unit,
) : AutoCloseable {
    /** Counts the sends of each id. */
    class Sends {
        private val counts = ConcurrentHashMap<String, AtomicInteger>()

        /** The number of ids that were sent more than once. */
        val repeated: Int
            get() = counts.values.count { it.get() > 1 }

        /** Returns how often [id] has been sent, with this time. */
        fun next(id: String): Int = counts.computeIfAbsent(id) { AtomicInteger() }.incrementAndGet()
    }

    /** A request, which is the [send]-th with its [id], and the [number]-th on its connection. */
    class Request(
        val path: String,
        val id: String,
        val send: Int,
        val number: Int,
        val headers: Map<String, String>,
    ) {
        /** Empty until it has been read. */
        var body: String = ""
            internal set
    }

    /** A connection, and the id of the request before the present one. */
    class Connection(
        private val socket: Socket,
    ) {
        var previous: String? = null

        fun write(text: String) {
            socket.getOutputStream().write(text.encodeToByteArray())
            socket.getOutputStream().flush()
        }

        /** Closes the connection with a reset. */
        fun reset() {
            socket.setSoLinger(true, 0)
            socket.close()
        }

        fun close() = socket.close()
    }

    private val listener =
        ServerSocket().also {
            if (receiveBufferBytes != null) it.receiveBufferSize = receiveBufferBytes
            it.bind(java.net.InetSocketAddress("127.0.0.1", 0))
        }
    private val received = Sends()

    /** The number of ids that this server has received more than once. */
    val repeated: Int
        get() = received.repeated

    val port: Int
        get() = listener.localPort

    init {
        thread(isDaemon = true) {
            try {
                while (true) {
                    val socket = listener.accept()
                    thread(isDaemon = true) { serve(socket) }
                }
            } catch (_: IOException) {
                // The test has ended.
            }
        }
    }

    private fun serve(socket: Socket) =
        try {
            socket.tcpNoDelay = true
            val input = BufferedInputStream(socket.getInputStream())
            val connection = Connection(socket)
            var number = 0
            while (true) {
                val path = readLine(input)?.split(' ')?.getOrNull(1) ?: break
                val headers = readHeaders(input)
                val id = headers["attempt-id"].orEmpty()
                received.next(id)
                val send = sends.next(id)
                val request = Request(path, id, send, ++number, headers)
                connection.onHead(request)
                request.body = input.readNBytes(headers["content-length"]?.toInt() ?: 0).decodeToString()
                connection.onRequest(request)
                connection.previous = id
            }
        } catch (_: IOException) {
            // The instance or the test has closed the connection.
        }

    /** Returns the headers of a request by lower-case name. */
    private fun readHeaders(input: InputStream): Map<String, String> =
        generateSequence { readLine(input)?.ifEmpty { null } }
            .associate { it.substringBefore(": ").lowercase() to it.substringAfter(": ") }

    private fun readLine(input: InputStream): String? {
        val line = StringBuilder()
        while (true) {
            when (val byte = input.read()) {
                -1 -> return null
                '\n'.code -> return line.toString().trimEnd('\r')
                else -> line.append(byte.toChar())
            }
        }
    }

    override fun close() = listener.close()
}
