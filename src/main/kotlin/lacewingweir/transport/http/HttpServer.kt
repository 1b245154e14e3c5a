package lacewingweir.transport.http

import io.github.oshai.kotlinlogging.KotlinLogging
import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.group.DefaultChannelGroup
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpServerCodec
import io.netty.handler.timeout.IdleStateHandler
import io.netty.util.concurrent.GlobalEventExecutor
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

private val logger = KotlinLogging.logger {}

/**
 * An HTTP/1.1 server on Netty that runs [handler] as a coroutine of [scope] for each request.
 *
 * Requests of one connection are handled one at a time and in order. Malformed and oversized requests are answered
 * with an error and never reach the handler. [port] zero binds a free port. [limits] are read for each new connection.
 *
 * @throws java.net.BindException from [start] if the address is in use
 */
public class HttpServer(
    private val group: EventLoopGroup,
    private val scope: CoroutineScope,
    private val host: String,
    port: Int,
    private val limits: () -> HttpLimits = { HttpLimits() },
    private val handler: suspend (ServerExchange) -> Unit,
) : AutoCloseable {
    private val requestedPort = port
    private val connections = DefaultChannelGroup(GlobalEventExecutor.INSTANCE)
    private val inFlight = AtomicInteger()
    private var listener: Channel? = null

    @Volatile
    private var draining = false

    /** The bound port; valid after [start]. */
    public val port: Int
        get() = (checkNotNull(listener) { "server is not started" }.localAddress() as InetSocketAddress).port

    /** Number of requests that are being handled. */
    public val requestsInFlight: Int
        get() = inFlight.get()

    /** Binds the address and accepts connections. */
    public fun start(): HttpServer {
        val bootstrap =
            ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel::class.java)
                .option(ChannelOption.SO_BACKLOG, LISTEN_BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(
                    object : ChannelInitializer<SocketChannel>() {
                        override fun initChannel(channel: SocketChannel) = initConnection(channel)
                    },
                )
        listener = bootstrap.bind(host, requestedPort).syncUninterruptibly().channel()
        return this
    }

    private fun initConnection(channel: SocketChannel) {
        connections.add(channel)
        val limits = limits()
        val decoder =
            HttpDecoderConfig()
                .setMaxInitialLineLength(limits.maxLineBytes)
                .setMaxHeaderSize(limits.maxHeaderBytes)
        channel
            .pipeline()
            .addLast(IdleStateHandler(limits.idleReadMillis, 0, 0, TimeUnit.MILLISECONDS))
            .addLast(HttpServerCodec(decoder))
            .addLast(ServerConnectionHandler(limits, { draining }, this::dispatch))
    }

    private fun dispatch(exchange: NettyServerExchange) {
        inFlight.incrementAndGet()
        val job =
            scope.launch {
                try {
                    handler(exchange)
                    exchange.ensureAnswered()
                } catch (e: CancellationException) {
                    exchange.fail()
                    throw e
                } catch (e: PeerClosedException) {
                    logger.debug { "http: peer closed the connection: ${e.message}" }
                } catch (e: Exception) {
                    logger.warn(e) { "http: handler failed for ${exchange.method} ${exchange.path}" }
                    exchange.fail()
                }
            }
        job.invokeOnCompletion {
            inFlight.decrementAndGet()
            exchange.complete()
        }
    }

    /** Ends each connection after its next answer; new ones are still accepted. */
    public fun beginDrain() {
        draining = true
    }

    /** Closes connections on which no request is being read or handled. */
    public fun closeIdleConnections() {
        connections.forEach { it.pipeline().fireUserEventTriggered(ServerConnectionHandler.CloseIfIdle) }
    }

    /** Stops accepting connections; requests on open ones are answered and then their connection is closed. */
    public fun stopAccepting() {
        draining = true
        listener?.close()?.syncUninterruptibly()
    }

    /** Waits until no request is being handled, at most [timeoutMillis]. Returns whether that was reached. */
    public suspend fun awaitIdle(timeoutMillis: Long): Boolean {
        val end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis)
        while (inFlight.get() > 0) {
            if (System.nanoTime() > end) return false
            delay(IDLE_CHECK_MILLIS)
        }
        return true
    }

    override fun close() {
        stopAccepting()
        connections.close().awaitUninterruptibly()
    }

    private companion object {
        const val LISTEN_BACKLOG: Int = 1024
        const val IDLE_CHECK_MILLIS: Long = 20
    }
}
