package lacewingweir.transport.http

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import lacewingweir.testing.eventually
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue
import java.net.ServerSocket
import java.net.Socket
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
    ): HttpServer = HttpServer(group, scope, "127.0.0.1", 0, { limits }, handler = handler).start()

    private fun request(
        port: Int,
        body: ByteArray = ByteArray(0),
    ): ClientRequest = ClientRequest("127.0.0.1", port, "POST", "/echo?x=1", body = body, headTimeoutMillis = 2_000)

    @Test
    fun `a streamed body is read completely by several requests in a row`() =
        runBlocking<Unit> {
            server {
                it.startStream(200)
                repeat(100) { n -> it.write("part-$n;".toByteArray()) }
                it.finish()
            }.use { server ->
                repeat(3) {
                    val result = client.open(request(server.port))
                    expectThat(result).isA<ClientResult.Answered>()
                    val body = (result as ClientResult.Answered).response.readAll(1 shl 20)
                    expectThat(body?.decodeToString()).isEqualTo((0 until 100).joinToString("") { n -> "part-$n;" })
                }
            }
        }

    // Guards against a truncated response that is mistaken for a complete one.
    @Test
    fun `reading a stream that the server aborts returns Broken`() =
        runBlocking<Unit> {
            server {
                it.startStream(200)
                it.write("half".toByteArray())
                delay(50)
                it.abort()
            }.use { server ->
                val result = client.open(request(server.port)) as ClientResult.Answered
                var lastRead: ReadResult = result.response.read()
                while (lastRead is ReadResult.Data) lastRead = result.response.read()
                expectThat(lastRead).isA<ReadResult.Broken>()
            }
        }

    // Guards against a request that is reported as not sent although the server may have executed it. Only a failed
    // connection attempt may be reported as NotSent.
    @Test
    fun `a refused connection is NotSent and a close without a response is Unknown`() =
        runBlocking<Unit> {
            val closedPort = ServerSocket(0).use { it.localPort }
            expectThat(client.open(request(closedPort))).isA<ClientResult.NotSent>()
            ServerSocket(0).use { socket ->
                thread { socket.accept().close() }
                expectThat(client.open(request(socket.localPort))).isA<ClientResult.Unknown>()
            }
        }

    @Test
    fun `an oversized body is rejected with 413`() =
        runBlocking<Unit> {
            server(HttpLimits(maxBodyBytes = 1000)) { it.respond(200) }.use { server ->
                val result = client.open(request(server.port, ByteArray(2000))) as ClientResult.Answered
                expectThat(result.response.status).isEqualTo(413)
            }
        }

    // Guards against work that continues for a client that has disconnected.
    @Test
    fun `the server is notified when the client disconnects`() =
        runBlocking<Unit> {
            val disconnectSeen = AtomicBoolean()
            server {
                it.onDisconnect { disconnectSeen.set(true) }
                it.startStream(200)
                it.write("x".toByteArray())
                delay(3_000)
            }.use { server ->
                val result = client.open(request(server.port)) as ClientResult.Answered
                result.response.close()
                var polls = 0
                while (!disconnectSeen.get() && polls++ < 100) delay(20)
                expectThat(disconnectSeen.get()).isTrue()
            }
        }

    @Test
    fun `the use of a connection is told before each send, and skipped responses are counted`() =
        runBlocking<Unit> {
            ServerSocket(0).use { socket ->
                thread(isDaemon = true) { answerWithCopies(socket.accept(), listOf("a", "b")) }
                val uses = ArrayList<ConnectionUse>()
                for (id in listOf("a", "b")) {
                    val request =
                        ClientRequest(
                            "127.0.0.1",
                            socket.localPort,
                            "GET",
                            "/",
                            id = id,
                            responseId = { it.get("Id") },
                            onSend = { uses += it },
                        )
                    (client.open(request) as ClientResult.Answered).response.readAll(1)
                }
                expectThat(uses.map { it.requests }).isEqualTo(listOf(0, 1))
                expectThat(client.skippedResponses).isEqualTo(mapOf(200 to 1L))
            }
        }

    /** Answers a request for each of [ids], and sends the response to the previous request again before each. */
    private fun answerWithCopies(
        socket: Socket,
        ids: List<String>,
    ) = socket.use {
        val input = it.getInputStream().bufferedReader()
        val output = it.getOutputStream()
        var copy = ""
        for (id in ids) {
            while (input.readLine().isNotEmpty()) Unit
            val response = "HTTP/1.1 200 OK\r\nId: $id\r\nContent-Length: 0\r\n\r\n"
            output.write((copy + response).encodeToByteArray())
            copy = response
        }
    }

    // Guards against a server that no caller reaches any more after its listener has failed.
    @Test
    fun `a listener that was closed by a failure listens again at the same port`() =
        runBlocking<Unit> {
            server { it.respond(200) }.use { server ->
                val port = server.port
                server.listener?.close()?.syncUninterruptibly()
                eventually("the server answers again") { client.open(request(port)) is ClientResult.Answered }
            }
        }

    // Guards against calls that never end because an error ended their handler.
    @Test
    fun `a request is answered although its handler overflows the stack`() =
        runBlocking<Unit> {
            server { throw StackOverflowError() }.use { server ->
                expectThat(client.open(request(server.port))).isA<ClientResult.Answered>()
            }
        }
}
