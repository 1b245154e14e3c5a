package lacewingweir.transport.http

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel
import kotlinx.coroutines.runBlocking
import lacewingweir.platform.StutterCaller
import lacewingweir.testing.eventually
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isTrue
import java.util.concurrent.CopyOnWriteArrayList

/** Guards against an instance that runs out of memory and answers nobody while callers upload large bodies. */
@Timeout(60)
internal class LargeUploadsTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val scope = CoroutineScope(SupervisorJob() + group.next().asCoroutineDispatcher())
    private val bodies = RequestBodies(maxBytes = 1L shl 20)
    private val exchanges = CopyOnWriteArrayList<ServerExchange>()
    private val release = CompletableDeferred<Unit>()
    private val server =
        HttpServer(group, scope, "127.0.0.1", 0, { HttpLimits(maxBodyBytes = 2 shl 20) }, bodies = bodies) { exchange ->
            exchanges += exchange
            if (exchange.path == "/slow") release.await()
            exchange.respond(200, body = "${exchange.body.size}".toByteArray())
        }.start()
    private val callers = ArrayList<StutterCaller>()

    @AfterEach
    fun close() {
        callers.forEach { it.close() }
        server.close()
        scope.cancel()
        group.shutdownGracefully()
    }

    private fun connect() = StutterCaller("127.0.0.1", server.port).also { callers += it }

    private fun StutterCaller.startUpload(
        bytes: Int = UPLOAD_BYTES,
        path: String = "/",
    ) = send("POST $path HTTP/1.1\r\nHost: a\r\nContent-Length: $bytes\r\n\r\n")

    /** Reads a response, which has to be complete. */
    private fun StutterCaller.readResponse() = read("upload").also { expectThat(it.complete).isTrue() }

    private fun awaitRoomTaken(bytes: Int = 1) =
        runBlocking { eventually("$bytes bytes are taken") { bodies.figures.bytes >= bytes } }

    private fun awaitRoomFree() = runBlocking { eventually("all room is free") { bodies.figures.bytes == 0L } }

    private fun awaitRequest() = runBlocking { eventually("a request") { server.requestsInFlight == 1 } }

    @Test
    fun `an upload without room is refused before its body, and others are answered`() {
        val first = connect().apply { startUpload() }
        awaitRoomTaken()
        val refused = connect().apply { startUpload() }.readResponse()
        expectThat(refused) {
            get { status }.isEqualTo(503)
            get { headers["x-lacewingweir-run"] }.isEqualTo("not-run")
            get { headers["retry-after"] }.isNotNull()
        }
        val small = connect().apply { send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}") }
        expectThat(small.readResponse().status).isEqualTo(200)
        first.send("x".repeat(UPLOAD_BYTES))
        expectThat(first.readResponse()) {
            get { status }.isEqualTo(200)
            get { body }.isEqualTo("$UPLOAD_BYTES")
        }
        // The first connection is kept open, and its upload holds nothing any more.
        awaitRoomFree()
        val again = connect().apply { startUpload() }.apply { send("x".repeat(UPLOAD_BYTES)) }
        expectThat(again.readResponse().status).isEqualTo(200)
        expectThat(bodies.figures.refused).isEqualTo(1)
    }

    @Test
    fun `a caller that sends all of its refused upload before it reads gets the refusal`() {
        connect().startUpload()
        awaitRoomTaken()
        val refused = connect().apply { startUpload() }
        repeat(20) {
            Thread.sleep(100)
            refused.send("x".repeat(UPLOAD_BYTES / 20))
        }
        expectThat(refused.readResponse().status).isEqualTo(503)
    }

    @Test
    fun `an upload holds its room until it is answered`() {
        val first = connect().apply { startUpload(path = "/slow") }.apply { send("x".repeat(UPLOAD_BYTES)) }
        awaitRequest()
        expectThat(connect().apply { startUpload() }.readResponse().status).isEqualTo(503)
        release.complete(Unit)
        expectThat(first.readResponse().status).isEqualTo(200)
        awaitRoomFree()
    }

    @Test
    fun `an upload without a length is refused where its room ends`() {
        connect().startUpload()
        awaitRoomTaken()
        val chunked = connect().apply { send("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n") }
        val chunk = "x".repeat(0x10000)
        repeat(UPLOAD_BYTES / chunk.length) { chunked.send("10000\r\n$chunk\r\n") }
        expectThat(chunked.readResponse().status).isEqualTo(503)
    }

    @Test
    fun `callers that leave give their room back`() {
        val leaving = connect().apply { startUpload() }
        awaitRoomTaken()
        leaving.close()
        awaitRoomFree()
        val slow = connect().apply { startUpload(path = "/slow") }.apply { send("x".repeat(UPLOAD_BYTES)) }
        awaitRequest()
        slow.startUpload(bytes = UPLOAD_BYTES / 4)
        slow.send("x".repeat(UPLOAD_BYTES / 4))
        awaitRoomTaken(bytes = UPLOAD_BYTES - RequestBodies.GUARANTEED_BYTES + 1)
        slow.close()
        release.complete(Unit)
        awaitRoomFree()
    }

    @Test
    fun `a body that was dropped can't be taken for an empty one`() {
        expectThat(
            connect()
                .apply { startUpload(bytes = 1) }
                .apply { send("x") }
                .readResponse()
                .status,
        ).isEqualTo(200)
        runBlocking { eventually("the handler has ended") { server.requestsInFlight == 0 } }
        val exchange = exchanges.single()
        runBlocking { eventually("the body is dropped") { runCatching { exchange.body }.isFailure } }
    }

    private companion object {
        const val UPLOAD_BYTES = 800_000
    }
}
