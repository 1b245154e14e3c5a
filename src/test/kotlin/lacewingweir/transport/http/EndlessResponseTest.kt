package lacewingweir.transport.http

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isLessThan
import strikt.assertions.isNull
import java.io.IOException
import java.net.ServerSocket
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread

/**
 * Guards against servers that send bytes without end until the client closes the connection. The client must give up
 * by itself, long before its timeout, and must not read much more than it may keep.
 */
internal class EndlessResponseTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val client = HttpClient(group)
    private val sockets = ArrayList<ServerSocket>()
    private val sentBytes = AtomicLong()

    @AfterEach
    fun tearDown() {
        client.close()
        sockets.forEach { it.close() }
        group.shutdownGracefully()
    }

    /** Starts a server that sends [start], and then [part] until the client closes the connection. */
    private fun endlessServer(
        start: String,
        part: String,
    ): Int {
        val server = ServerSocket(0).also { sockets += it }
        thread(isDaemon = true) {
            val socket = server.accept()
            try {
                val out = socket.getOutputStream()
                out.write(start.toByteArray())
                val parts = part.repeat(PART_BYTES / part.length + 1).toByteArray()
                while (true) {
                    out.write(parts)
                    sentBytes.addAndGet(parts.size.toLong())
                }
            } catch (_: IOException) {
                // The client has closed the connection.
            }
        }
        return server.localPort
    }

    private suspend fun open(
        port: Int,
        acceptsId: String? = null,
    ) = client.open(
        ClientRequest(
            "127.0.0.1",
            port,
            "POST",
            "/",
            headTimeoutMillis = TIMEOUT_MILLIS,
            id = acceptsId,
            responseId = { it.get("Id") },
        ),
    )

    private fun expectHeadRefused(
        start: String,
        part: String,
        acceptsId: String? = null,
    ): Unit =
        runBlocking {
            val startNanos = System.nanoTime()
            expectThat(open(endlessServer(start, part), acceptsId)).isA<ClientResult.Unknown>()
            expectThat((System.nanoTime() - startNanos) / 1_000_000).isLessThan(TIMEOUT_MILLIS / 2)
            expectThat(sentBytes.get()).isLessThan(MAX_SENT_BYTES)
        }

    @Test
    fun `a status line without end is refused`() = expectHeadRefused("HTTP/1.1 200 ", "x")

    @Test
    fun `a head without end is refused`() = expectHeadRefused("HTTP/1.1 200 OK\r\n", "A: b\r\n")

    @Test
    fun `blank lines without end before a head are refused`() = expectHeadRefused("", "\r\n")

    @Test
    fun `interim responses without end are refused`() = expectHeadRefused("", "HTTP/1.1 102 Processing\r\n\r\n")

    @Test
    fun `a body without end of a response to another request is refused`() =
        expectHeadRefused("HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n", CHUNK, "mine")

    @Test
    fun `responses without end to other requests are refused`() =
        expectHeadRefused("", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 0\r\n\r\n", "mine")

    @Test
    fun `a body without end is not read beyond its limit`() = expectBodyRefused("Transfer-Encoding: chunked\r\n", CHUNK)

    @Test
    fun `a body without end and without a length is not read beyond its limit`() = expectBodyRefused("", "x")

    @Test
    fun `a chunk header without end is refused`() = expectBodyRefused("Transfer-Encoding: chunked\r\n", "1")

    @Test
    fun `a trailer without end is refused`() =
        expectBodyRefused("Transfer-Encoding: chunked\r\n\r\n0\r\nX: y", "A: b\r\n")

    private fun expectBodyRefused(
        headers: String,
        part: String,
    ): Unit =
        runBlocking {
            val result = open(endlessServer("HTTP/1.1 200 OK\r\n$headers\r\n", part))
            expectThat(result).isA<ClientResult.Answered>()
            val startNanos = System.nanoTime()
            expectThat((result as ClientResult.Answered).response.readAll(MAX_BODY_BYTES, TIMEOUT_MILLIS)).isNull()
            expectThat((System.nanoTime() - startNanos) / 1_000_000).isLessThan(TIMEOUT_MILLIS / 2)
            expectThat(sentBytes.get()).isLessThan(MAX_SENT_BYTES)
        }

    private companion object {
        const val TIMEOUT_MILLIS = 8_000L
        const val MAX_BODY_BYTES = 64 * 1024
        const val PART_BYTES = 16 * 1024
        const val CHUNK = "4\r\nabcd\r\n"

        /** What the client may keep, and the buffers of both sockets. */
        const val MAX_SENT_BYTES = 16L * 1024 * 1024
    }
}
