package lacewingweir.transport.http

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.startsWith
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList

/** Guards against requests that reach the handler, and whose connection the server closes before it has responded. */
@Timeout(20)
internal class RequestWithoutAnswerTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val scope = CoroutineScope(SupervisorJob() + group.next().asCoroutineDispatcher())
    private val handled = CopyOnWriteArrayList<String>()
    private val server =
        HttpServer(group, scope, "127.0.0.1", 0) { exchange ->
            handled += exchange.path
            delay(HANDLING_MILLIS)
            val size = if (exchange.path == "/large") LARGE_BODY_BYTES else 0
            exchange.respond(200, listOf("Path" to exchange.path), ByteArray(size))
        }.start()

    @AfterEach
    fun close() {
        server.close()
        scope.cancel()
        group.shutdownGracefully()
    }

    /** Sends [text] at once, and returns all that is received until the connection ends. */
    private fun exchange(text: String): String =
        Socket("127.0.0.1", server.port).use { socket ->
            socket.soTimeout = READ_TIMEOUT_MILLIS
            socket.getOutputStream().write(text.encodeToByteArray())
            socket.getInputStream().readBytes().decodeToString()
        }

    private fun get(
        path: String,
        headers: String = "",
    ) = "GET $path HTTP/1.1\r\nHost: h\r\n$headers\r\n"

    private fun paths(received: String) = Regex("Path: (/\\w+)").findAll(received).map { it.groupValues[1] }.toList()

    @Test
    fun `a request before a malformed one is answered`() {
        val received = exchange(get("/first") + "GET / HTTP/1.1\r\nbad header\r\n\r\n")
        expectThat(paths(received)).containsExactly("/first")
        expectThat(received.substringAfter("Path: ")).contains("HTTP/1.1 400")
    }

    @Test
    fun `a request before one with a too large body is answered`() {
        val received = exchange(get("/first") + get("/large", "Content-Length: 99999999\r\n"))
        expectThat(paths(received)).containsExactly("/first")
        expectThat(received.substringAfter("Path: ")).contains("HTTP/1.1 413")
    }

    @Test
    fun `requests before too many pipelined ones are answered`() {
        val received = exchange((1..PIPELINED).joinToString("") { get("/r$it") })
        expectThat(paths(received)).isEqualTo(handled)
        expectThat(received).startsWith("HTTP/1.1 200")
        expectThat(server.unansweredCloses).isEqualTo(emptyMap())
    }

    /** The response is larger than the buffers of the connection, so it is not written at once. */
    @Test
    fun `a request behind one that ends its connection is not handled`() {
        val received = exchange(get("/large", "Connection: close\r\n") + get("/next"))
        expectThat(received.length).isEqualTo(received.indexOf("\r\n\r\n") + 4 + LARGE_BODY_BYTES)
        expectThat(handled).containsExactly("/large")
    }

    private companion object {
        const val HANDLING_MILLIS = 100L
        const val READ_TIMEOUT_MILLIS = 15_000
        const val LARGE_BODY_BYTES = 32 * 1024 * 1024
        const val PIPELINED = 12
    }
}
