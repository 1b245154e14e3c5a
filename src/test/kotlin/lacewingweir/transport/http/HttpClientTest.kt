package lacewingweir.transport.http

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue
import java.net.ServerSocket
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.concurrent.thread

internal class HttpClientTest {
    private val group = MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory())
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val client = HttpClient(group)

    @AfterEach
    fun tearDown() {
        client.close()
        scope.cancel()
        group.shutdownGracefully()
    }

    private fun server(
        limits: HttpLimits = HttpLimits(),
        handler: suspend (ServerExchange) -> Unit,
    ): HttpServer = HttpServer(group, scope, "127.0.0.1", 0, { limits }, handler).start()

    private fun request(
        port: Int,
        body: ByteArray = ByteArray(0),
    ): ClientRequest = ClientRequest("127.0.0.1", port, "POST", "/echo?x=1", body = body, headTimeoutMillis = 2_000)

    @Test
    fun `a streamed body arrives whole and a connection is reused`() =
        runBlocking<Unit> {
            server {
                it.startStream(200)
                repeat(100) { n -> it.write("part-$n;".toByteArray()) }
                it.finish()
            }.use { server ->
                repeat(3) {
                    val answer = client.open(request(server.port))
                    expectThat(answer).isA<ClientResult.Answered>()
                    val body = (answer as ClientResult.Answered).response.readAll(1 shl 20)
                    expectThat(body?.decodeToString()).isEqualTo((0 until 100).joinToString("") { n -> "part-$n;" })
                }
            }
        }

    // Guards against a cut answer that looks complete (stream integrity).
    @Test
    fun `a stream that the server aborts reads as broken`() =
        runBlocking<Unit> {
            server {
                it.startStream(200)
                it.write("half".toByteArray())
                delay(50)
                it.abort()
            }.use { server ->
                val answer = client.open(request(server.port)) as ClientResult.Answered
                var last: ReadResult = answer.response.read()
                while (last is ReadResult.Data) last = answer.response.read()
                expectThat(last).isA<ReadResult.Broken>()
            }
        }

    // Guards against a false "not run": only a failed connection attempt may count as not sent.
    @Test
    fun `refused connection is not sent and a silent close is unknown`() =
        runBlocking<Unit> {
            val closedPort = ServerSocket(0).use { it.localPort }
            expectThat(client.open(request(closedPort))).isA<ClientResult.NotSent>()
            ServerSocket(0).use { socket ->
                thread { socket.accept().close() }
                expectThat(client.open(request(socket.localPort))).isA<ClientResult.Unknown>()
            }
        }

    @Test
    fun `oversized body is refused with 413`() =
        runBlocking<Unit> {
            server(HttpLimits(maxBodyBytes = 1000)) { it.respond(200) }.use { server ->
                val answer = client.open(request(server.port, ByteArray(2000))) as ClientResult.Answered
                expectThat(answer.response.status).isEqualTo(413)
            }
        }

    // Guards against work that goes on for a caller who has left.
    @Test
    fun `server learns that the caller disconnected`() =
        runBlocking<Unit> {
            val noticed = AtomicBoolean()
            server {
                it.onDisconnect { noticed.set(true) }
                it.startStream(200)
                it.write("x".toByteArray())
                delay(3_000)
            }.use { server ->
                val answer = client.open(request(server.port)) as ClientResult.Answered
                answer.response.close()
                var waits = 0
                while (!noticed.get() && waits++ < 100) delay(20)
                expectThat(noticed.get()).isTrue()
            }
        }
}
