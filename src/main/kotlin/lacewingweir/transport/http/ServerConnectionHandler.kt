package lacewingweir.transport.http

import io.github.oshai.kotlinlogging.KotlinLogging
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.handler.codec.TooLongFrameException
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.handler.codec.http.TooLongHttpLineException
import io.netty.handler.timeout.IdleStateEvent
import java.util.concurrent.TimeUnit
import kotlin.random.Random

private val logger = KotlinLogging.logger {}

/**
 * Assembles the requests of a connection and passes them to [dispatch] one at a time.
 *
 * Input that can't be handled ends the connection after the responses to all requests before it.
 *
 * Runs on the event loop of the connection only, so its fields need no synchronization.
 */
internal class ServerConnectionHandler(
    private val codec: RequestCodec,
    private val limits: HttpLimits,
    private val held: HeldBytes,
    private val bodies: RequestBodies,
    private val draining: () -> Boolean,
    private val closes: UnansweredCloses,
    private val idleCloses: IdleCloses,
    private val dispatch: (NettyServerExchange) -> Unit,
) : SimpleChannelInboundHandler<HttpObject>() {
    private val pipelined = ArrayDeque<NettyServerExchange>()

    /** The size of [pipelined], for threads other than that of the event loop. */
    @Volatile
    private var waiting = 0
    private var current: NettyServerExchange? = null

    /** The exchange before [current], whose response the client may still be reading. */
    private var previous: NettyServerExchange? = null
    private var requestHead: HttpRequest? = null
    private var content: RequestBody? = null

    /** Whether further input is ignored, because the connection ends. */
    private var ignoring = false
    private var pendingRejection: Rejection? = null

    /** When the client became idle: at the last response, because a request may take much longer than the limit. */
    private var idleSinceNanos = System.nanoTime()
    private var headReceivedAtNanos = 0L
    private val createdAtNanos = System.nanoTime()

    @Volatile
    private var requests = 0

    private val use: ConnectionUse
        get() = ConnectionUse(requests, TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - createdAtNanos))

    override fun channelRead0(
        ctx: ChannelHandlerContext,
        message: HttpObject,
    ) {
        if (ignoring) {
            if (message is HttpRequest) idleCloses.onRequestBehindEnd()
            return
        }
        if (message.decoderResult().isFailure) {
            rejectMalformed(ctx, message.decoderResult().cause())
            return
        }
        if (message is HttpRequest) startRequest(ctx, message)
        if (message is HttpContent) appendContent(ctx, message)
    }

    private fun startRequest(
        ctx: ChannelHandlerContext,
        request: HttpRequest,
    ) {
        val expectedBytes = HttpUtil.getContentLength(request, 0L)
        if (expectedBytes > limits.maxBodyBytes) {
            rejectTooLarge(ctx)
            return
        }
        val body = bodies.open(expectedBytes.toInt())
        if (body == null) {
            rejectWithoutRoom(ctx, request, expectedBytes)
            return
        }
        requestHead = request
        headReceivedAtNanos = System.nanoTime()
        content = body
        if (HttpUtil.is100ContinueExpected(request)) {
            ctx.writeAndFlush(DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE))
        }
    }

    private fun appendContent(
        ctx: ChannelHandlerContext,
        part: HttpContent,
    ) {
        val body = content ?: return
        val receivedBytes = body.size + part.content().readableBytes()
        if (receivedBytes > limits.maxBodyBytes) {
            rejectTooLarge(ctx)
            return
        }
        when {
            !body.tryAppend(part.content()) -> rejectWithoutRoom(ctx, checkNotNull(requestHead), receivedBytes.toLong())
            part is LastHttpContent -> completeRequest(ctx, body)
        }
    }

    private fun completeRequest(
        ctx: ChannelHandlerContext,
        body: RequestBody,
    ) {
        val request = checkNotNull(requestHead)
        requests++
        requestHead = null
        content = null
        val exchange =
            NettyServerExchange(
                ctx,
                request,
                body,
                headReceivedAtNanos,
                limits,
                held,
                draining = { draining() && isLastRequest(ctx) },
                onUnanswered = { exchange, reason -> closes.record(reason, exchange, use) },
            ) { startNext(ctx) }
        when {
            current == null -> startExchange(exchange)
            pipelined.size < limits.maxPipelinedRequests -> {
                pipelined.addLast(exchange)
                waiting = pipelined.size
            }
            else -> {
                exchange.releaseBody()
                reject(ctx, HttpResponseStatus.SERVICE_UNAVAILABLE, "too many requests wait on the connection")
            }
        }
    }

    /** Returns whether nothing of another request has arrived behind the current one. */
    private fun isLastRequest(ctx: ChannelHandlerContext): Boolean {
        if (ctx.channel().eventLoop().inEventLoop()) ctx.channel().readArrived()
        return waiting == 0 && !codec.isReceiving
    }

    private fun startExchange(exchange: NettyServerExchange) {
        current = exchange
        dispatch(exchange)
    }

    private fun startNext(ctx: ChannelHandlerContext) {
        val connectionEnds = current?.endsConnection == true
        previous = current
        current = null
        idleSinceNanos = System.nanoTime()
        if (!ctx.channel().isActive) return
        if (connectionEnds) {
            // The response may still be in the buffers, so the connection may be open.
            ignoring = true
            dropPipelined()
            return
        }
        val next = pipelined.removeFirstOrNull()
        waiting = pipelined.size
        if (next != null) startExchange(next) else pendingRejection?.send(ctx)
    }

    private fun dropPipelined() {
        pipelined.forEach { it.releaseBody() }
        pipelined.clear()
    }

    private fun rejectTooLarge(ctx: ChannelHandlerContext) =
        reject(
            ctx,
            HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE,
            "request body exceeds ${limits.maxBodyBytes} bytes",
            close = LingeringClose.DURING_REQUEST,
        )

    /** Refuses an upload. It may come back when others have ended, and not at the same moment as all others. */
    private fun rejectWithoutRoom(
        ctx: ChannelHandlerContext,
        request: HttpRequest,
        bytes: Long,
    ) {
        bodies.onRefused()
        logger.info { "http: no room for a body ${request.method()} ${request.uri()} bytes=$bytes ${bodies.figures}" }
        reject(
            ctx,
            HttpResponseStatus.SERVICE_UNAVAILABLE,
            "request body needs memory that other requests take up",
            retryAfterSeconds = Random.nextInt(1, MAX_RETRY_SECONDS + 1),
            close = LingeringClose.DURING_REQUEST,
        )
    }

    private fun rejectMalformed(
        ctx: ChannelHandlerContext,
        cause: Throwable,
    ) {
        val status =
            when (cause) {
                is TooLongHttpLineException -> HttpResponseStatus.REQUEST_URI_TOO_LONG
                is TooLongHttpHeaderException, is TooLongFrameException ->
                    HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
                else -> HttpResponseStatus.BAD_REQUEST
            }
        reject(ctx, status, "malformed HTTP request")
    }

    /**
     * Responds with an error object, after the responses to earlier requests, and closes the connection, because its
     * further input can't be parsed reliably.
     */
    private fun reject(
        ctx: ChannelHandlerContext,
        status: HttpResponseStatus,
        message: String,
        retryAfterSeconds: Int? = null,
        close: LingeringClose = LingeringClose.BEHIND_REQUEST,
    ) {
        ignoring = true
        releaseContent()
        val json = """{"error":{"message":"$message","type":"invalid_request_error","code":"${status.code()}"}}"""
        val body = Unpooled.copiedBuffer(json, Charsets.UTF_8)
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body)
        response
            .headers()
            .set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON)
            .set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes())
            .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
            .set(RUN_STATE_HEADER, RUN_STATE_NOT_RUN)
        retryAfterSeconds?.let { response.headers().set(HttpHeaderNames.RETRY_AFTER, it) }
        val rejection = Rejection(response, close)
        if (current == null) rejection.send(ctx) else pendingRejection = rejection
    }

    private class Rejection(
        private val response: DefaultFullHttpResponse,
        private val close: LingeringClose,
    ) {
        fun send(ctx: ChannelHandlerContext) {
            ctx.writeAndFlush(response).addListener(close)
        }
    }

    override fun userEventTriggered(
        ctx: ChannelHandlerContext,
        event: Any,
    ) {
        when (event) {
            is IdleStateEvent -> onIdleTimeout(ctx)
            is CloseIfIdle -> if (idleMillis >= event.idleMillis) closeIfIdle(ctx)
            EndUnfinished -> endUnfinished(ctx)
            else -> ctx.fireUserEventTriggered(event)
        }
    }

    private fun onIdleTimeout(ctx: ChannelHandlerContext) {
        when {
            current != null -> Unit
            // The response itself is ended if the client does not read it.
            previous?.isDelivering == true -> idleSinceNanos = System.nanoTime()
            // The client doesn't read the end of the last response.
            ignoring -> ctx.close()
            readArrived(ctx) -> Unit
            codec.isReceiving -> reject(ctx, HttpResponseStatus.REQUEST_TIMEOUT, "request was not sent in time")
            idleMillis >= limits.idleReadMillis -> closeIfIdle(ctx)
        }
    }

    /** The time for which the client has not begun another request. */
    private val idleMillis: Long
        get() = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - idleSinceNanos)

    /** Closes the connection if no request is in progress and none has arrived by now. */
    private fun closeIfIdle(ctx: ChannelHandlerContext) {
        if (!isIdle(ctx)) return
        readArrived(ctx)
        if (!isIdle(ctx)) {
            idleCloses.onInputFound()
        } else if (ctx.channel().isActive) {
            idleCloses.onClosed()
            ctx.close()
        }
    }

    private fun isIdle(ctx: ChannelHandlerContext) =
        current == null && !ignoring && !codec.isReceiving && isFlushed(ctx)

    /** Reads and handles what the system has received, and returns whether that was anything. */
    private fun readArrived(ctx: ChannelHandlerContext): Boolean {
        val before = codec.readBytes
        ctx.channel().readArrived()
        return codec.readBytes > before
    }

    /** Refuses a request that is still being received, and logs one that is still being handled. */
    private fun endUnfinished(ctx: ChannelHandlerContext) {
        current?.logUnfinished()
        readArrived(ctx)
        if (current == null && codec.isReceiving && !ignoring) {
            reject(ctx, HttpResponseStatus.SERVICE_UNAVAILABLE, "server is about to be closed")
        }
    }

    /** A close would drop responses that wait for the client to read. */
    private fun isFlushed(ctx: ChannelHandlerContext) =
        ctx
            .channel()
            .unsafe()
            .outboundBuffer()
            ?.isEmpty != false

    override fun channelWritabilityChanged(ctx: ChannelHandlerContext) {
        current?.writabilityChanged()
        ctx.fireChannelWritabilityChanged()
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        releaseContent()
        dropPipelined()
        current?.channelInactive()
        ctx.fireChannelInactive()
    }

    @Deprecated("Netty deprecates the method in its superinterface only")
    override fun exceptionCaught(
        ctx: ChannelHandlerContext,
        cause: Throwable,
    ) {
        logger.info { "http: connection failed requests=$requests: $cause" }
        current?.connectionFailed()
        ctx.close()
    }

    private fun releaseContent() {
        content?.close()
        content = null
        requestHead = null
    }

    /** An event that closes the connection if no request or response has been in progress for [idleMillis]. */
    internal class CloseIfIdle(
        val idleMillis: Long,
    )

    /** An event at the end of a server that gives up the request that is in progress. */
    internal object EndUnfinished

    internal companion object {
        const val RUN_STATE_HEADER: String = "X-Lacewingweir-Run"
        const val RUN_STATE_NOT_RUN: String = "not-run"
        private const val MAX_RETRY_SECONDS: Int = 4
    }
}
