package lacewingweir.transport.http

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel
import lacewingweir.testing.smallWindowSocket
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import java.io.IOException
import java.net.Socket
import java.util.concurrent.atomic.AtomicInteger

/** Guards against responses that were given to the connection and are lost in part, because the server closes it. */
@Timeout(40)
internal class ResponseCutByCloseTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val scope = CoroutineScope(SupervisorJob() + group.next().asCoroutineDispatcher())
    private val handled = AtomicInteger()

    @Volatile
    private var bodyBytes = 0
    private val server =
        HttpServer(group, scope, "127.0.0.1", 0, { HttpLimits(writeStallMillis = WRITE_STALL_MILLIS) }) { exchange ->
            exchange.respond(200, body = ByteArray(bodyBytes))
            handled.incrementAndGet()
        }.start()

    @AfterEach
    fun close() {
        server.close()
        scope.cancel()
        group.shutdownGracefully()
    }

    private fun connect() = smallWindowSocket(server.port, READ_TIMEOUT_MILLIS)

    private fun Socket.request() = getOutputStream().write("GET / HTTP/1.1\r\nHost: h\r\n\r\n".encodeToByteArray())

    /** Returns the number of bytes until the connection ends, fails or has nothing more for the read timeout. */
    private fun Socket.readAll(): Long {
        var total = 0L
        val part = ByteArray(PART_BYTES)
        try {
            while (true) {
                val count = getInputStream().read(part)
                if (count < 0) return total
                total += count
            }
        } catch (e: IOException) {
            println("close: connection failed after $total bytes: $e")
            return total
        }
    }

    /** A client can't know that a connection ends before it has read the response that says so. */
    @Test
    fun `a request that crosses the close of its connection leaves the response before it whole`() {
        bodyBytes = 400_000
        server.beginDrain()
        connect().use { socket ->
            socket.request()
            Thread.sleep(CLOSE_MILLIS)
            expectThat(handled.get()).isEqualTo(1)
            socket.request()
            Thread.sleep(CLOSE_MILLIS)
            expectThat(socket.readAll()).isGreaterThan(400_000)
        }
    }

    /** Sends requests until a response waits for the client to read, and returns the number of complete handlers. */
    private fun fill(socket: Socket): Int {
        val before = handled.get()
        var sent = 0
        do {
            socket.request()
            sent++
            val deadline = System.nanoTime() + BLOCKED_NANOS
            while (handled.get() < before + sent && System.nanoTime() < deadline) Thread.sleep(1)
        } while (handled.get() == before + sent)
        return sent - 1
    }

    @Test
    fun `a response that is still in the buffers when idle connections are closed is received whole`() {
        bodyBytes = 8_000
        val fitting = connect().use(::fill)
        connect().use { socket ->
            val before = handled.get()
            repeat(fitting) {
                socket.request()
                while (handled.get() < before + it + 1) Thread.sleep(1)
            }
            Thread.sleep(CLOSE_MILLIS)
            server.closeIdleConnections()
            Thread.sleep(CLOSE_MILLIS)
            expectThat(socket.readAll()).isGreaterThan(fitting * 8_000L)
        }
    }

    @Test
    fun `a large response to a client that reads slowly but steadily is received whole`() {
        bodyBytes = 24_000_000
        connect().use { socket ->
            socket.request()
            var total = 0L
            while (total < bodyBytes) {
                val count = socket.getInputStream().readNBytes(PART_BYTES).size
                total += count
                if (count < PART_BYTES) break
                Thread.sleep(PAUSE_MILLIS)
            }
            expectThat(total).isGreaterThan(bodyBytes.toLong() - 1)
            expectThat(server.unansweredCloses).isEqualTo(emptyMap())
        }
    }

    private companion object {
        const val CLOSE_MILLIS = 400L
        const val WRITE_STALL_MILLIS = 1_000L
        const val READ_TIMEOUT_MILLIS = 2_000
        const val BLOCKED_NANOS = 300_000_000L
        const val PART_BYTES = 100_000
        const val PAUSE_MILLIS = 20L
    }
}
