package lacewingweir.transport.http

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.coroutines.runBlocking
import lacewingweir.testing.SocketServer
import lacewingweir.testing.reset
import lacewingweir.testing.write
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import java.net.Socket

/** Tests responses that begin or end in rare ways, sent by a server that writes prepared bytes. */
internal class ResponseFramingTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val client = HttpClient(group)
    private val servers = ArrayList<SocketServer>()

    @AfterEach
    fun tearDown() {
        client.close()
        servers.forEach { it.close() }
        group.shutdownGracefully()
    }

    private fun server(respond: (Socket) -> Unit): Int = SocketServer(respond).also { servers += it }.port

    private suspend fun open(port: Int) =
        client.open(ClientRequest("127.0.0.1", port, "GET", "/", headTimeoutMillis = 2_000))

    private suspend fun body(port: Int): String? =
        (open(port) as ClientResult.Answered).response.readAll(100_000, 2_000)?.decodeToString()

    @Test
    fun `interim responses are skipped`(): Unit =
        runBlocking {
            val port =
                server {
                    it.write("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n")
                    it.write("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole")
                }
            expectThat(body(port)).isEqualTo("whole")
        }

    @Test
    fun `interim responses in several segments are skipped`(): Unit =
        runBlocking {
            val port =
                server {
                    "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"
                        .chunked(7)
                        .forEach { part ->
                            it.write(part)
                            Thread.sleep(5)
                        }
                }
            expectThat(body(port)).isEqualTo("whole")
        }

    @Test
    fun `interim responses without end are given up`(): Unit =
        runBlocking {
            val port = server { socket -> repeat(1_000) { socket.write("HTTP/1.1 102 Processing\r\n\r\n") } }
            expectThat(open(port)).isA<ClientResult.Unknown>()
        }

    @Test
    fun `a response without length or chunks ends with its connection`(): Unit =
        runBlocking {
            val port =
                server {
                    it.write("HTTP/1.1 200 OK\r\n\r\nfirst ")
                    Thread.sleep(20)
                    it.write("second")
                    it.close()
                }
            expectThat(body(port)).isEqualTo("first second")
        }

    @Test
    fun `a response without length or chunks is incomplete if its connection is reset`(): Unit =
        runBlocking {
            val port =
                server {
                    it.write("HTTP/1.1 200 OK\r\n\r\nfirst ")
                    Thread.sleep(50)
                    it.reset()
                }
            expectThat(body(port)).isNull()
        }
}
