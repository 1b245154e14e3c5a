package lacewingweir.transport.http

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.async
import kotlinx.coroutines.cancel
import kotlinx.coroutines.runBlocking
import lacewingweir.testing.SocketServer
import lacewingweir.testing.write
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import strikt.api.expectThat
import strikt.assertions.isA
import java.net.Socket
import java.util.concurrent.SynchronousQueue

/** Guards against requests on pooled connections that their server has ended, which the event loop has not read yet. */
@Timeout(20)
internal class RequestOnEndedConnectionTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val scope = CoroutineScope(SupervisorJob() + group.next().asCoroutineDispatcher())
    private val client = HttpClient(group)
    private val answered = SynchronousQueue<Socket>()
    private val server =
        SocketServer { socket ->
            socket.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            answered.put(socket)
        }

    @AfterEach
    fun close() {
        client.close()
        server.close()
        scope.cancel()
        group.shutdownGracefully()
    }

    private suspend fun exchange(): ClientResult {
        val result = client.open(ClientRequest("127.0.0.1", server.port, "POST", "/"))
        if (result is ClientResult.Answered) {
            result.response.readAll(100)
            result.response.close()
        }
        return result
    }

    @Test
    fun `a request behind a hold of the event loop, in which its connection ended, is answered`() {
        val first = scope.async { exchange() }
        val socket = answered.take()
        runBlocking { expectThat(first.await()).isA<ClientResult.Answered>() }
        val second =
            scope.async {
                Thread.sleep(HOLD_MILLIS)
                exchange()
            }
        socket.close()
        Thread { answered.take() }.start()
        runBlocking { expectThat(second.await()).isA<ClientResult.Answered>() }
    }

    private companion object {
        const val HOLD_MILLIS = 300L
    }
}
