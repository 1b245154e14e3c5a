package lacewingweir.transport.http

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel
import kotlinx.coroutines.runBlocking
import lacewingweir.testing.eventually
import lacewingweir.testing.write
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.startsWith
import java.net.Socket
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
    private val sockets = ArrayList<Socket>()

    @AfterEach
    fun close() {
        sockets.forEach { it.close() }
        server.close()
        scope.cancel()
        group.shutdownGracefully()
    }

    private fun connect() = Socket("127.0.0.1", server.port).also { sockets += it }

    private fun Socket.startUpload(
        bytes: Int = UPLOAD_BYTES,
        path: String = "/",
    ) = write("POST $path HTTP/1.1\r\nHost: a\r\nContent-Length: $bytes\r\n\r\n")

    /** Reads one response of less than 8 KB. */
    private fun Socket.readResponse(): String {
        val text = StringBuilder()
        val part = ByteArray(8_192)
        do {
            val count = getInputStream().read(part)
            if (count > 0) text.append(String(part, 0, count))
        } while (count > 0 && !text.isCompleteResponse())
        return text.toString()
    }

    private fun CharSequence.isCompleteResponse(): Boolean {
        val headEnd = indexOf("\r\n\r\n")
        val length =
            Regex("content-length: (\\d+)", RegexOption.IGNORE_CASE)
                .find(this)
                ?.groupValues
                ?.get(1)
                ?.toInt() ?: 0
        return headEnd >= 0 && this.length >= headEnd + 4 + length
    }

    private fun awaitRoomTaken(bytes: Int = 1) =
        runBlocking { eventually("$bytes bytes are taken") { bodies.figures.bytes >= bytes } }

    private fun awaitRoomFree() = runBlocking { eventually("all room is free") { bodies.figures.bytes == 0L } }

    private fun awaitRequest() = runBlocking { eventually("a request") { server.requestsInFlight == 1 } }

    @Test
    fun `an upload without room is refused before its body, and others are answered`() {
        val first = connect().apply { startUpload() }
        awaitRoomTaken()
        val refused = connect().apply { startUpload() }.readResponse()
        expectThat(refused).startsWith("HTTP/1.1 503").contains("X-Lacewingweir-Run: not-run").contains("retry-after: ")
        val small = connect().apply { write("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}") }
        expectThat(small.readResponse()).startsWith("HTTP/1.1 200")
        first.write("x".repeat(UPLOAD_BYTES))
        expectThat(first.readResponse()).startsWith("HTTP/1.1 200").contains("\r\n\r\n$UPLOAD_BYTES")
        // The first connection is kept open, and its upload holds nothing any more.
        awaitRoomFree()
        val again = connect().apply { startUpload() }.apply { write("x".repeat(UPLOAD_BYTES)) }
        expectThat(again.readResponse()).startsWith("HTTP/1.1 200")
        expectThat(bodies.figures.refused).isEqualTo(1)
    }

    @Test
    fun `a caller that sends all of its refused upload before it reads gets the refusal`() {
        connect().startUpload()
        awaitRoomTaken()
        val refused = connect().apply { startUpload() }
        repeat(20) {
            Thread.sleep(100)
            refused.write("x".repeat(UPLOAD_BYTES / 20))
        }
        expectThat(refused.readResponse()).startsWith("HTTP/1.1 503")
    }

    @Test
    fun `an upload holds its room until it is answered`() {
        val first = connect().apply { startUpload(path = "/slow") }.apply { write("x".repeat(UPLOAD_BYTES)) }
        awaitRequest()
        expectThat(connect().apply { startUpload() }.readResponse()).startsWith("HTTP/1.1 503")
        release.complete(Unit)
        expectThat(first.readResponse()).startsWith("HTTP/1.1 200")
        awaitRoomFree()
    }

    @Test
    fun `an upload without a length is refused where its room ends`() {
        connect().startUpload()
        awaitRoomTaken()
        val chunked = connect().apply { write("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n") }
        val chunk = "x".repeat(0x10000)
        repeat(UPLOAD_BYTES / chunk.length) { chunked.write("10000\r\n$chunk\r\n") }
        expectThat(chunked.readResponse()).startsWith("HTTP/1.1 503")
    }

    @Test
    fun `callers that leave give their room back`() {
        val leaving = connect().apply { startUpload() }
        awaitRoomTaken()
        leaving.close()
        awaitRoomFree()
        val slow = connect().apply { startUpload(path = "/slow") }.apply { write("x".repeat(UPLOAD_BYTES)) }
        awaitRequest()
        slow.startUpload(bytes = UPLOAD_BYTES / 4)
        slow.write("x".repeat(UPLOAD_BYTES / 4))
        awaitRoomTaken(bytes = UPLOAD_BYTES - RequestBodies.GUARANTEED_BYTES + 1)
        slow.close()
        release.complete(Unit)
        awaitRoomFree()
    }

    @Test
    fun `a body that was dropped can't be taken for an empty one`() {
        expectThat(
            connect().apply { startUpload(bytes = 1) }.apply { write("x") }.readResponse(),
        ).startsWith("HTTP/1.1 200")
        runBlocking { eventually("the handler has ended") { server.requestsInFlight == 0 } }
        val exchange = exchanges.single()
        runBlocking { eventually("the body is dropped") { runCatching { exchange.body }.isFailure } }
    }

    private companion object {
        const val UPLOAD_BYTES = 800_000
    }
}
