package lacewingweir.transport.http

import io.github.oshai.kotlinlogging.KotlinLogging
import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandler
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.group.DefaultChannelGroup
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.timeout.IdleStateHandler
import io.netty.util.concurrent.GlobalEventExecutor
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import java.net.InetSocketAddress
import java.net.SocketAddress
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

private val logger = KotlinLogging.logger {}

/**
 * An HTTP/1.1 server on Netty that runs [handler] as a coroutine of [scope] for each request.
 *
 * Requests on the same connection are handled one at a time and in order. Malformed and oversized requests are answered
 * with an error and are not passed to the handler.
 *
 * @param port the port to bind; zero selects a free port
 * @param limits called for each new connection
 * @param held the bytes that responses hold for slow clients, which several servers may share
 * @param bodies the bytes that request bodies hold, which several servers may share
 * @throws java.net.BindException from [start] if the address is in use
 */
public class HttpServer(
    private val group: EventLoopGroup,
    private val scope: CoroutineScope,
    private val host: String,
    port: Int,
    private val limits: () -> HttpLimits = { HttpLimits() },
    private val held: HeldBytes = HeldBytes(),
    private val bodies: RequestBodies = RequestBodies(),
    private val handler: suspend (ServerExchange) -> Unit,
) : AutoCloseable {
    private val requestedPort = port
    private val connections = DefaultChannelGroup(GlobalEventExecutor.INSTANCE)
    private val inFlight = AtomicInteger()
    private val accepted = AtomicLong()
    private val closes = UnansweredCloses()
    private val idle = IdleCloses()

    @Volatile
    internal var listener: Channel? = null
        private set

    @Volatile
    private var stopped = false

    @Volatile
    private var draining = false

    /** Whether requests are refused because the server is about to be closed. */
    @Volatile
    private var refusing = false

    /**
     * The bound port.
     *
     * @throws IllegalStateException before [start]
     */
    public val port: Int
        get() = (checkNotNull(listener) { "server is not started" }.localAddress() as InetSocketAddress).port

    /** The number of open connections. */
    public val openConnections: Int
        get() = connections.size

    /** The number of requests that are being handled. */
    public val requestsInFlight: Int
        get() = inFlight.get()

    /** The number of connections that were closed before a complete response so far, by reason. */
    public val unansweredCloses: Map<CloseReason, Long>
        get() = closes.totals

    /** How often connections were ended between two requests so far. */
    public val idleCloses: IdleCloseFigures
        get() = idle.figures

    /** Binds the address and accepts connections. */
    public fun start(): HttpServer {
        val bootstrap =
            ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel::class.java)
                .option(ChannelOption.SO_BACKLOG, LISTEN_BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .handler(AcceptedConnections())
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.SO_SNDBUF, SEND_BUFFER_BYTES)
                .childHandler(
                    object : ChannelInitializer<SocketChannel>() {
                        override fun initChannel(channel: SocketChannel) = initConnection(channel)
                    },
                )
        val channel = bootstrap.bind(host, requestedPort).syncUninterruptibly().channel()
        listener = channel
        channel.closeFuture().addListener { if (!stopped) listenAgain(bootstrap, channel.localAddress()) }
        return this
    }

    /** Binds [address] again after its listener was closed by a failure, since callers would find no server there. */
    private fun listenAgain(
        bootstrap: ServerBootstrap,
        address: SocketAddress,
    ) {
        logger.error { "http: listener at $address has failed; listening again" }
        bootstrap.bind(address).addListener(
            ChannelFutureListener { bound ->
                val channel = bound.channel()
                if (bound.isSuccess) {
                    listener = channel
                    if (stopped) channel.close()
                    channel.closeFuture().addListener { if (!stopped) listenAgain(bootstrap, address) }
                } else if (!stopped) {
                    group.schedule({ listenAgain(bootstrap, address) }, LISTEN_RETRY_MILLIS, TimeUnit.MILLISECONDS)
                }
            },
        )
    }

    private fun initConnection(channel: SocketChannel) {
        val limits = limits()
        val decoder =
            HttpDecoderConfig()
                .setMaxInitialLineLength(limits.maxLineBytes)
                .setMaxHeaderSize(limits.maxHeaderBytes)
        val codec = RequestCodec(decoder)
        channel
            .pipeline()
            .addLast(IdleStateHandler(limits.idleReadMillis, 0, 0, TimeUnit.MILLISECONDS))
            .addLast(codec)
            .addLast(ServerConnectionHandler(codec, limits, held, bodies, { draining }, closes, idle, this::dispatch))
    }

    private fun dispatch(exchange: NettyServerExchange) {
        if (refusing) {
            logger.info { "http: refused ${exchange.method} ${exchange.path}: the server is about to be closed" }
            exchange.refuse()
            return
        }
        inFlight.incrementAndGet()
        val job =
            scope.launch {
                try {
                    handler(exchange)
                    exchange.failIfUnfinished()
                } catch (e: CancellationException) {
                    exchange.fail()
                    throw e
                } catch (e: PeerClosedException) {
                    logger.debug { "http: peer closed the connection: ${e.message}" }
                } catch (e: Throwable) {
                    logger.warn(e) { "http: handler failed for ${exchange.method} ${exchange.path}" }
                    exchange.fail()
                }
            }
        job.invokeOnCompletion {
            inFlight.decrementAndGet()
            exchange.handlerCompleted()
        }
    }

    /** Closes each connection after its next response. New connections are still accepted. */
    public fun beginDrain() {
        draining = true
    }

    /** Closes connections on which no request has been received or handled for [idleMillis]. */
    public fun closeIdleConnections(idleMillis: Long = 0): Unit = fire(ServerConnectionHandler.CloseIfIdle(idleMillis))

    private fun fire(event: Any) {
        connections.forEach { if (it.isRegistered) it.pipeline().fireUserEventTriggered(event) }
    }

    /** Open connections are closed after their next response. */
    private fun beginStop() {
        draining = true
        stopped = true
    }

    /**
     * Closes the listener [channel] behind its backlog, which the system would reset.
     *
     * The system goes on accepting connections for a channel that is closed until the selector of the channel is used
     * again. So the selector has to forget the channel first, which takes one pass of the event loop.
     */
    private suspend fun closeBehindBacklog(channel: Channel) {
        val loop = channel.eventLoop()
        val closed = CompletableDeferred<Unit>()
        val close = {
            acceptBacklog(channel)
            channel.close()
            closed.complete(Unit)
        }
        channel.deregister().addListener { loop.schedule(close, EventLoopLag.PASS_MILLIS, TimeUnit.MILLISECONDS) }
        closed.await()
    }

    private fun acceptBacklog(channel: Channel) {
        do {
            val acceptedBefore = accepted.get()
            if (channel.isOpen) channel.readArrived()
        } while (accepted.get() > acceptedBefore)
    }

    /**
     * Stops accepting connections, and waits until the requests on open connections have been received, handled and
     * answered. Returns `false` if that takes longer than [timeoutMillis]. Requests that are incomplete by then are
     * refused, since nobody waits for their answers.
     *
     * Connections that were opened or used a moment ago are kept for [RECENT_USE_MILLIS], since their clients are the
     * likeliest to send a request while the connection is being closed.
     */
    public suspend fun drain(timeoutMillis: Long): Boolean {
        val deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis)
        beginStop()
        withTimeoutOrNull(timeoutMillis) { listener?.let { closeBehindBacklog(it) } }
        while (!isDrained && System.nanoTime() < deadlineNanos) {
            closeIdleConnections(RECENT_USE_MILLIS)
            delay(DRAIN_POLL_MILLIS)
        }
        refusing = true
        closeIdleConnections()
        fire(ServerConnectionHandler.EndUnfinished)
        if (!isDrained) delay(DRAIN_POLL_MILLIS)
        return isDrained
    }

    private val isDrained: Boolean
        get() = connections.isEmpty() && inFlight.get() == 0

    override fun close() {
        beginStop()
        listener?.close()?.syncUninterruptibly()
        connections.close().awaitUninterruptibly()
    }

    /** Adds accepted connections to those of the server before their event loop has registered them. */
    @ChannelHandler.Sharable
    private inner class AcceptedConnections : ChannelInboundHandlerAdapter() {
        override fun channelRead(
            ctx: ChannelHandlerContext,
            message: Any,
        ) {
            connections.add(message as Channel)
            accepted.incrementAndGet()
            ctx.fireChannelRead(message)
        }
    }

    private companion object {
        const val LISTEN_BACKLOG: Int = 1024

        /**
         * Without a bound, the system buffers up to 4 MB for each client that reads slowly, which count toward the
         * memory of the instance. This allows 5 MB/s with a round trip of 50 ms.
         */
        const val SEND_BUFFER_BYTES: Int = 256 * 1024
        const val DRAIN_POLL_MILLIS: Long = 20
        const val RECENT_USE_MILLIS: Long = 500
        const val LISTEN_RETRY_MILLIS: Long = 200
    }
}
