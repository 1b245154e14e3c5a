package lacewingweir.transport.http

import io.netty.bootstrap.Bootstrap
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelHandler
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.ConnectTimeoutException
import io.netty.channel.EventLoopGroup
import io.netty.channel.group.DefaultChannelGroup
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpRequestEncoder
import io.netty.handler.codec.http.HttpVersion
import io.netty.util.concurrent.GlobalEventExecutor
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.suspendCancellableCoroutine
import lacewingweir.transport.traffic.KeyedCounter
import java.net.ConnectException
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedDeque
import kotlin.coroutines.resume

/**
 * An HTTP/1.1 client on Netty that sends one request at a time on a connection and pools connections.
 *
 * [ClientResult] distinguishes failures by whether any byte of the request was written to a connection. The client
 * never retries.
 *
 * @param maxIdlePerAddress the largest number of pooled connections to an address
 * @param defaultIdleTimeoutMillis how long a pooled connection can be reused if its server announces no timeout
 */
public class HttpClient(
    private val group: EventLoopGroup,
    private val maxIdlePerAddress: Int = 64,
    private val defaultIdleTimeoutMillis: Long = DEFAULT_IDLE_TIMEOUT_MILLIS,
) : AutoCloseable {
    private data class Address(
        val host: String,
        val port: Int,
    )

    private val idleConnections = ConcurrentHashMap<Address, ConcurrentLinkedDeque<ClientConnection>>()
    private val connections = DefaultChannelGroup(GlobalEventExecutor.INSTANCE)
    private val skipped = KeyedCounter<Int>()
    private val secondResponses = SecondResponses()
    private val malformed = MalformedResponses()
    private val endedRequests = EndedRequests()

    /** The number of responses to other requests that were skipped so far, by status. */
    internal val skippedResponses: Map<Int, Long>
        get() = skipped.totals

    /** The number of second responses to requests that had been answered so far, by both statuses. */
    internal val secondResponseTotals: Map<StatusPair, Long>
        get() = secondResponses.totals

    /** The number of responses that were rejected as malformed so far, by defect. */
    public val malformedResponses: Map<ResponseDefect, Long>
        get() = malformed.totals

    /** Sends [request] and waits for the head of the response. Closes the connection if the caller is cancelled. */
    public suspend fun open(request: ClientRequest): ClientResult {
        val connection =
            when (val connected = acquire(request)) {
                is ConnectResult.Open -> connected.connection
                is ConnectResult.Failed -> return ClientResult.NotSent(connected.reason)
            }
        try {
            return exchange(connection, request)
        } catch (e: CancellationException) {
            connection.close()
            throw e
        }
    }

    private suspend fun exchange(
        connection: ClientConnection,
        request: ClientRequest,
    ): ClientResult {
        request.onSend(connection.use)
        val head =
            try {
                connection.send(encode(request), request)
                awaitHead(connection, request)
            } finally {
                request.id?.let { endedRequests.add(request.address, it) }
            }
        return when (head) {
            null -> {
                connection.close()
                ClientResult.Unknown("no answer within ${request.headTimeoutMillis} ms", timedOut = true)
            }
            is ClientConnection.Head.Received ->
                ClientResult.Answered(
                    NettyClientResponse(
                        connection,
                        head.response,
                        detector = request.id?.let { SecondHeadDetector(request.responseId) },
                    ) { release(request, connection) },
                )
            is ClientConnection.Head.Failed -> {
                connection.close()
                ClientResult.Unknown(head.reason)
            }
        }
    }

    /** Returns null if the request was given up. */
    private suspend fun awaitHead(
        connection: ClientConnection,
        request: ClientRequest,
    ): ClientConnection.Head? =
        coroutineScope {
            val head = async(start = CoroutineStart.UNDISPATCHED) { connection.awaitHead(request) }
            val inTime = withLoopTimeoutOrNull(request.headTimeoutMillis) { head.await() }
            when {
                inTime != null -> inTime
                request.mayGiveUp() -> null.also { head.cancel() }
                else -> head.await()
            }
        }

    private fun encode(request: ClientRequest): DefaultFullHttpRequest {
        val body = Unpooled.wrappedBuffer(request.body)
        val message =
            DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.valueOf(request.method), request.path, body)
        for ((name, value) in request.headers) message.headers().add(name, value)
        if (!request.preserveHostHeader) message.headers().set(HttpHeaderNames.HOST, request.address)
        if (request.body.isNotEmpty() || request.method !in BODYLESS_METHODS) {
            message.headers().set(HttpHeaderNames.CONTENT_LENGTH, request.body.size)
        }
        return message
    }

    private suspend fun acquire(request: ClientRequest): ConnectResult {
        if (!request.freshConnection) {
            val pool = idleConnections[Address(request.host, request.port)]
            pool?.let { acquireFrom(it, request.id) }?.let { return ConnectResult.Open(it) }
        }
        return connect(request)
    }

    /** Takes an open connection that hasn't carried the request with this [id]. */
    private fun acquireFrom(
        pool: ConcurrentLinkedDeque<ClientConnection>,
        id: String?,
    ): ClientConnection? {
        val ambiguous = ArrayList<ClientConnection>(0)
        try {
            while (true) {
                val pooled = pool.pollLast() ?: return null
                if (id != null && pooled.hasCarried(id)) {
                    ambiguous += pooled
                } else if (pooled.acquireFromPool()) {
                    return pooled
                }
            }
        } finally {
            ambiguous.asReversed().forEach(pool::addLast)
        }
    }

    private suspend fun connect(request: ClientRequest): ConnectResult {
        val connection =
            ClientConnection(
                defaultIdleTimeoutMillis,
                hasEnded = { id -> endedRequests.contains(request.address, id) },
                onAnswered = { id -> endedRequests.add(request.address, id) },
                onSkipped = skipped::increment,
                secondResponses = secondResponses,
                malformedResponses = malformed,
            )
        val handlers = listOf(HttpRequestEncoder(), connection.decoder, connection)
        val future = connect(request.host, request.port, request.connectTimeoutMillis, handlers)
        return if (future.awaitSuccess()) {
            connections.add(future.channel())
            ConnectResult.Open(connection)
        } else {
            ConnectResult.Failed(future.cause()?.message ?: "connection failed")
        }
    }

    private fun connect(
        host: String,
        port: Int,
        timeoutMillis: Long,
        handlers: List<ChannelHandler>,
    ): ChannelFuture =
        Bootstrap()
            .group(group)
            .channel(NioSocketChannel::class.java)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeoutMillis.toInt())
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.AUTO_READ, false)
            .option(ChannelOption.SO_SNDBUF, SEND_BUFFER_BYTES)
            .handler(
                object : ChannelInitializer<SocketChannel>() {
                    override fun initChannel(channel: SocketChannel) {
                        handlers.forEach { channel.pipeline().addLast(it) }
                    }
                },
            ).connect(host, port)

    /** Returns whether a connection can be established within [timeoutMillis]. It is closed again. */
    public suspend fun canConnect(
        host: String,
        port: Int,
        timeoutMillis: Long,
    ): Boolean = connectionFailure(host, port, timeoutMillis) == null

    /**
     * Returns whether a connection is refused because nothing listens at the address. Returns false if a connection
     * could be established, or if there was no response within [timeoutMillis].
     */
    public suspend fun isRefused(
        host: String,
        port: Int,
        timeoutMillis: Long,
    ): Boolean {
        val failure = connectionFailure(host, port, timeoutMillis)
        return failure is ConnectException && failure !is ConnectTimeoutException
    }

    /** Tries to establish a connection and closes it again. Returns why that failed, or null if it didn't. */
    private suspend fun connectionFailure(
        host: String,
        port: Int,
        timeoutMillis: Long,
    ): Throwable? {
        val future = connect(host, port, timeoutMillis, listOf(ChannelInboundHandlerAdapter()))
        future.awaitSuccess()
        future.channel().close()
        return future.cause()
    }

    private fun release(
        request: ClientRequest,
        connection: ClientConnection,
    ) {
        val pool = idleConnections.computeIfAbsent(Address(request.host, request.port)) { ConcurrentLinkedDeque() }
        while (pool.peekFirst()?.isClosed == true) pool.pollFirst()
        if (request.freshConnection || pool.size >= maxIdlePerAddress || !connection.returnToPool()) {
            connection.close()
            return
        }
        pool.addLast(connection)
    }

    override fun close() {
        idleConnections.clear()
        connections.close().awaitUninterruptibly()
    }

    private companion object {
        /** Servers that announce no timeout usually keep idle connections open for minutes. */
        const val DEFAULT_IDLE_TIMEOUT_MILLIS: Long = 60_000

        /**
         * A request counts as written once the socket buffer has taken it up. In a buffer without this bound, a request
         * of several megabytes counts as written while its server has received little of it, and a connection that
         * breaks then seems to end the response in an orderly way.
         */
        const val SEND_BUFFER_BYTES: Int = 256 * 1024
        val BODYLESS_METHODS: Set<String> = setOf("GET", "HEAD", "DELETE", "OPTIONS")
    }

    private sealed interface ConnectResult {
        class Open(
            val connection: ClientConnection,
        ) : ConnectResult

        class Failed(
            val reason: String,
        ) : ConnectResult
    }
}

private suspend fun ChannelFuture.awaitSuccess(): Boolean =
    suspendCancellableCoroutine { continuation ->
        addListener { continuation.resume(isSuccess) }
        continuation.invokeOnCancellation { closeIfNotNull(channel()) }
    }

private fun closeIfNotNull(channel: Channel?) {
    channel?.close()
}
