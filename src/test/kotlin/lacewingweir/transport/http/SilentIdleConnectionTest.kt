package lacewingweir.transport.http

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.coroutines.runBlocking
import lacewingweir.testing.eventually
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

/** Guards against connections that stay open for ever because the path to their server has gone silent. */
internal class SilentIdleConnectionTest {
    private val group = MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory())
    private val client = HttpClient(group, defaultIdleTimeoutMillis = IDLE_MILLIS)
    private val listener = ServerSocket(0)
    private val accepted = CopyOnWriteArrayList<Socket>()
    private val closedByClient = AtomicInteger()

    @AfterEach
    fun tearDown() {
        client.close()
        listener.close()
        accepted.forEach { it.close() }
        group.shutdownGracefully()
    }

    /** Answers each request on a connection, and never closes it. */
    private fun serve() =
        thread(isDaemon = true) {
            while (!listener.isClosed) {
                val socket = runCatching { listener.accept() }.getOrNull() ?: return@thread
                accepted += socket
                thread(isDaemon = true) {
                    val buffer = ByteArray(4_096)
                    while (socket.getInputStream().read(buffer) >= 0) {
                        Thread.sleep(ANSWER_MILLIS)
                        socket.getOutputStream().write(
                            "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".encodeToByteArray(),
                        )
                    }
                    closedByClient.incrementAndGet()
                }
            }
        }

    private suspend fun exchange() {
        val result = client.open(ClientRequest("127.0.0.1", listener.localPort, "GET", "/"))
        expectThat(result).isA<ClientResult.Answered>()
        (result as ClientResult.Answered).response.readAll(100)
        result.response.close()
    }

    @Test
    fun `an idle connection whose server says nothing any more is closed after its idle time`(): Unit =
        runBlocking {
            serve()
            exchange()
            eventually("the idle connection is closed", timeoutMillis = 4 * IDLE_MILLIS) { closedByClient.get() == 1 }
        }

    /** The timer of an earlier idle time must not end a later request. */
    @Test
    fun `a connection that is used again is not closed during the request`(): Unit =
        runBlocking {
            serve()
            repeat(6) { exchange() }
            expectThat(accepted.size).isEqualTo(1)
        }

    private companion object {
        const val IDLE_MILLIS: Long = 500
        const val ANSWER_MILLIS: Long = 300
    }
}
