package lacewingweir.transport.http

import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.ChannelHandler
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.channel.socket.ServerSocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
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
import strikt.assertions.isEqualTo
import java.net.Socket

/** Guards against answers that arrive in time and are given up, because the event loop was held up across the limit. */
@Timeout(30)
internal class AnswerMissedByTimeoutTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val scope = CoroutineScope(SupervisorJob() + group.next().asCoroutineDispatcher())
    private val client = HttpClient(group)

    /** Holds the loop up while it handles what it has selected, so that its timers run before it selects again. */
    private val holder =
        ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel::class.java)
            .childHandler(
                SleepOnRead,
            ).bind("127.0.0.1", 0)
            .sync()
            .channel() as ServerSocketChannel
    private val server =
        SocketServer { socket ->
            Thread.sleep(ANSWER_MILLIS)
            socket.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        }

    @AfterEach
    fun close() {
        client.close()
        holder.close()
        server.close()
        scope.cancel()
        group.shutdownGracefully()
    }

    /** Returns the result of a call that ends after [limitMillis] in any case. */
    private fun play(
        headTimeoutMillis: Long,
        limitMillis: Long,
    ): ClientResult? {
        val request = ClientRequest("127.0.0.1", server.port, "GET", "/", headTimeoutMillis = headTimeoutMillis)
        val call = scope.async { withLoopTimeoutOrNull(limitMillis) { client.open(request) } }
        return Socket("127.0.0.1", holder.localAddress().port).use { socket ->
            Thread.sleep(ANSWER_MILLIS / 2)
            socket.write("x")
            runBlocking { call.await() }
        }
    }

    @Test
    fun `an answer that arrives before the time limit is taken although the event loop is held up`() {
        val results = List(PLAYS) { play(headTimeoutMillis = LIMIT_MILLIS, limitMillis = LONG_LIMIT_MILLIS) }
        expectThat(results.count { it is ClientResult.Answered }).isEqualTo(PLAYS)
    }

    @Test
    fun `an answer that arrives before two equal time limits is taken although the event loop is held up`() {
        val results = List(PLAYS) { play(headTimeoutMillis = LIMIT_MILLIS, limitMillis = LIMIT_MILLIS) }
        expectThat(results.count { it is ClientResult.Answered }).isEqualTo(PLAYS)
    }

    @ChannelHandler.Sharable
    private object SleepOnRead : ChannelInboundHandlerAdapter() {
        override fun channelRead(
            ctx: ChannelHandlerContext,
            message: Any,
        ) = Thread.sleep(HOLD_MILLIS)
    }

    private companion object {
        const val PLAYS = 5
        const val ANSWER_MILLIS = 150L
        const val LIMIT_MILLIS = 300L
        const val LONG_LIMIT_MILLIS = 5_000L
        const val HOLD_MILLIS = 500L
    }
}
