package lacewingweir.transport.http

import io.netty.buffer.Unpooled
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelOutboundHandlerAdapter
import io.netty.channel.ChannelPromise
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.channel.nio.NioIoHandler
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpVersion
import io.netty.util.ReferenceCountUtil
import kotlinx.coroutines.runBlocking
import lacewingweir.testing.SocketServer
import lacewingweir.testing.reset
import lacewingweir.testing.write
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import java.io.IOException
import java.net.Socket

/**
 * Guards against part of a body that passes for a complete answer: the server answers a long upload with a body that
 * ends with its connection, sends part of it and breaks the connection while the upload is still being written.
 */
@Timeout(60)
internal class ResponseCutDuringUploadTest {
    private val group = MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory())
    private val client = HttpClient(group)
    private val servers = ArrayList<SocketServer>()

    @AfterEach
    fun tearDown() {
        client.close()
        servers.forEach { it.close() }
        group.shutdownGracefully()
    }

    /** How a server ends a connection on which part of its answer and of the request have been sent. */
    enum class Cut(
        val end: (Socket) -> Unit,
    ) {
        RESET_AT_ONCE(Socket::reset),
        RESET_LATER({
            Thread.sleep(20)
            it.reset()
        }),
        RESET_AFTER_READING({
            it.getInputStream().readNBytes(1_000_000)
            it.reset()
        }),
        CLOSE_WITH_UNREAD_BYTES(Socket::close),
        RESET_AFTER_END_OF_OUTPUT({
            it.shutdownOutput()
            it.reset()
        }),
        END_OF_OUTPUT_ONLY({
            it.shutdownOutput()
            Thread.sleep(50)
        }),
    }

    private fun server(respond: (Socket) -> Unit): Int = SocketServer(respond).also { servers += it }.port

    private suspend fun upload(port: Int): ByteArray? {
        val request = ClientRequest("127.0.0.1", port, "POST", "/", body = ByteArray(UPLOAD_BYTES))
        return (client.open(request) as? ClientResult.Answered)?.response?.readAll(100_000, TIMEOUT_MILLIS)
    }

    private fun expectIncomplete(
        cut: Cut,
        head: String,
        warmUp: Boolean,
    ): Unit =
        runBlocking {
            val complete =
                (1..REPEATS).count {
                    val port =
                        server { socket ->
                            if (warmUp) {
                                socket.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                                socket.getInputStream().read(ByteArray(4_096))
                            }
                            socket.write("$head\r\npart of a body")
                            cut.end(socket)
                        }
                    if (warmUp) {
                        val first = client.open(ClientRequest("127.0.0.1", port, "GET", "/"))
                        (first as ClientResult.Answered).response.readAll(1)
                    }
                    upload(port) != null
                }
            expectThat(complete).isEqualTo(0)
        }

    @ParameterizedTest
    @EnumSource
    fun `an answer that is cut during an upload is incomplete`(cut: Cut) =
        expectIncomplete(cut, "HTTP/1.1 200 OK\r\n", warmUp = false)

    @ParameterizedTest
    @EnumSource
    fun `an answer with announced close that is cut during an upload is incomplete`(cut: Cut) =
        expectIncomplete(cut, "HTTP/1.1 200 OK\r\nConnection: close\r\n", warmUp = false)

    @ParameterizedTest
    @EnumSource
    fun `an answer that is cut during an upload on a reused connection is incomplete`(cut: Cut) =
        expectIncomplete(cut, "HTTP/1.1 200 OK\r\n", warmUp = true)

    /** A read is outstanding on a reused connection, so its event loop may get ahead of the thread that sends. */
    @Test
    fun `an answer that is cut before the sending thread goes on is incomplete`(): Unit =
        runBlocking {
            val connection = ClientConnection(defaultIdleTimeoutMillis = 1_000)
            val channel = EmbeddedChannel(CutWhileWriting, connection.decoder, connection)
            val request = ClientRequest("127.0.0.1", 1, "POST", "/")
            connection.send(DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/"), request)
            expectThat(connection.awaitHead(request)).isA<ClientConnection.Head.Received>()
            var last = connection.readBody()
            while (last is ReadResult.Data) last = connection.readBody()
            expectThat(last).isA<ReadResult.Broken>()
            channel.finishAndReleaseAll()
        }

    /** Receives a response without length while a request is being written, fails to write it and closes. */
    private object CutWhileWriting : ChannelOutboundHandlerAdapter() {
        override fun write(
            context: ChannelHandlerContext,
            message: Any,
            promise: ChannelPromise,
        ) {
            ReferenceCountUtil.release(message)
            context.fireChannelRead(Unpooled.copiedBuffer("HTTP/1.1 200 OK\r\n\r\npart", Charsets.US_ASCII))
            promise.setFailure(IOException("Broken pipe"))
            context.close()
        }
    }

    private companion object {
        /** More than the socket buffers of both sides take up on loopback. */
        const val UPLOAD_BYTES = 32 * 1024 * 1024
        const val REPEATS = 20
        const val TIMEOUT_MILLIS = 2_000L
    }
}
