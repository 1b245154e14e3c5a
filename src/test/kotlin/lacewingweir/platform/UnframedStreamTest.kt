package lacewingweir.platform

import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import java.net.ServerSocket
import java.net.SocketException
import kotlin.concurrent.thread

/** Tests streams of engines with neither a length nor chunks, which end with their connection. */
internal class UnframedStreamTest {
    private val relay = RelayFixture().also { it.configure("k1") }
    private val sockets = ArrayList<ServerSocket>()

    @AfterEach
    fun close() {
        relay.close()
        sockets.forEach { it.close() }
    }

    private val head =
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nAttempt-Id: ${RelayFixture.REQUEST_ID}\r\n" +
            "Server-Stamp: stamp\r\n\r\n"
    private val prompt = listOf("Model" to "m", "Token-Counts" to "300,20", "Prompt-Prefix" to "a1:100,b2:200")

    private fun event(id: Int) = "id: $id\ndata: piece$id\n\n"

    /** Starts engines that send [parts] on each connection and close it. */
    private fun engines(vararg parts: String) =
        listOf("i-1", "i-2").forEach { id ->
            val server = ServerSocket(0).also { sockets += it }
            thread(isDaemon = true) {
                try {
                    while (true) {
                        server.accept().use { socket ->
                            socket.getInputStream().read(ByteArray(4_096))
                            for (part in parts) {
                                socket.getOutputStream().write(part.toByteArray())
                                Thread.sleep(20)
                            }
                        }
                    }
                } catch (_: SocketException) {
                    // The test has ended.
                }
            }
            relay.registerEngine(id, server.localPort)
        }

    @Test
    fun `a stream that ends with its connection is complete`(): Unit =
        runBlocking {
            engines(head, event(1), event(2))
            expectThat(relay.call("stream", headers = prompt)) {
                get { complete }.isTrue()
                get { body }.isEqualTo(event(1) + event(2))
            }
        }

    @Test
    fun `a stream that ends with its connection inside an event is not complete`(): Unit =
        runBlocking {
            engines(head, event(1), "id: 2\nda")
            expectThat(relay.call("stream", headers = prompt).complete).isFalse()
        }

    /** Guards against a continuation that ends at once and makes a stream look complete. */
    @Test
    fun `a continued stream that ends with its connection before an event is not complete`(): Unit =
        runBlocking {
            relay.endpoint("i-0", "engine") { exchange ->
                exchange.startStream(
                    200,
                    RelayFixture.responseHeaders + ("Content-Type" to "text/event-stream"),
                )
                exchange.write(event(1).toByteArray())
                // Engines that were known before could get the call first, and end it with a failure.
                engines(head)
                exchange.abort()
            }
            expectThat(relay.call("stream", headers = prompt)) {
                get { status }.isEqualTo(200)
                get { complete }.isFalse()
            }
        }
}
