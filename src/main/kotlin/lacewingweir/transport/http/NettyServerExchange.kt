package lacewingweir.transport.http

import io.netty.buffer.Unpooled
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.DefaultLastHttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.QueryStringDecoder
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicReference

/**
 * A [ServerExchange] on a Netty connection. Calls [onComplete] once, when the next request can be handled, and
 * [onUnanswered] before it closes the connection without a complete response.
 */
internal class NettyServerExchange(
    private val ctx: ChannelHandlerContext,
    request: HttpRequest,
    override val body: ByteArray,
    override val arrivedAtNanos: Long,
    private val limits: HttpLimits,
    private val draining: () -> Boolean,
    private val onUnanswered: (NettyServerExchange, CloseReason) -> Unit,
    private val onComplete: () -> Unit,
) : ServerExchange {
    private val decoder = QueryStringDecoder(request.uri())
    private val keepAlive = HttpUtil.isKeepAlive(request)
    private val disconnectAction = AtomicReference<(() -> Unit)?>(null)
    private val handlerDone = AtomicBoolean()
    private val unansweredReported = AtomicBoolean()
    private val writableSignal = AtomicReference(CompletableDeferred<Unit>())

    @Volatile
    private var disconnected = false

    @Volatile
    private var finished = false

    /** Whether the connection is closed behind the response, so that no further request on it is handled. */
    @Volatile
    internal var endsConnection = false
        private set

    @Volatile
    override var responseStarted: Boolean = false
        private set

    override val method: String = request.method().name()
    override val path: String = decoder.path()
    override val rawPath: String = request.uri().substringBefore('?').substringBefore('#')
    override val target: String = request.uri()
    override val query: String = decoder.rawQuery()
    override val headers: HttpHeaders = request.headers()

    override suspend fun respond(
        status: Int,
        headers: List<Pair<String, String>>,
        body: ByteArray,
    ) {
        check(!responseStarted) { "a response was already started" }
        responseStarted = true
        val response =
            DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(status),
                Unpooled.wrappedBuffer(body),
            )
        setHeaders(response, headers)
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.size)
        finished = true
        send(response, last = true)
    }

    override suspend fun startStream(
        status: Int,
        headers: List<Pair<String, String>>,
    ) {
        check(!responseStarted) { "a response was already started" }
        responseStarted = true
        val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status))
        setHeaders(response, headers)
        response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED)
        send(response, last = false)
    }

    override suspend fun write(chunk: ByteArray) {
        check(responseStarted && !finished) { "no streamed response is in progress" }
        send(DefaultHttpContent(Unpooled.wrappedBuffer(chunk)), last = false)
    }

    override suspend fun finish() {
        check(responseStarted && !finished) { "no streamed response is in progress" }
        finished = true
        send(DefaultLastHttpContent(), last = true)
    }

    private fun setHeaders(
        response: HttpResponse,
        headers: List<Pair<String, String>>,
    ) {
        for ((name, value) in headers) response.headers().add(name, value)
        if (keepAlive && !draining()) return
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        endsConnection = true
    }

    private suspend fun send(
        message: Any,
        last: Boolean,
    ) {
        if (disconnected || !ctx.channel().isActive) throw PeerClosedException("connection is closed")
        if (last && draining()) endsConnection = true
        val future = ctx.writeAndFlush(message)
        if (last && endsConnection) future.addListener(LingeringClose)
        // After the last response was written, the connection may already be closed. That is not an error.
        if (!future.isSuccess && !ctx.channel().isWritable) awaitWritable(future)
    }

    private suspend fun awaitWritable(pending: ChannelFuture) {
        while (!ctx.channel().isWritable && !disconnected) {
            val signal = writableSignal.get()
            if (ctx.channel().isWritable || disconnected) break
            withTimeoutOrNull(limits.writeStallMillis) { signal.await() } ?: run {
                pending.cancel(false)
                close(CloseReason.WRITE_STALLED)
                throw PeerClosedException("peer read nothing for ${limits.writeStallMillis} ms")
            }
        }
        if (disconnected) throw PeerClosedException("connection is closed")
    }

    override fun abort() = close(CloseReason.ABORTED)

    private fun close(reason: CloseReason) {
        if (!disconnected && unansweredReported.compareAndSet(false, true)) onUnanswered(this, reason)
        ctx.close()
    }

    override fun onDisconnect(action: () -> Unit) {
        val alreadyRun = AtomicBoolean()
        val runOnce = { if (alreadyRun.compareAndSet(false, true)) action() }
        disconnectAction.set(runOnce)
        if (disconnected) runOnce()
    }

    internal fun writabilityChanged() {
        writableSignal.getAndSet(CompletableDeferred()).complete(Unit)
    }

    /** Reports that the connection has failed in the middle of the response. */
    internal fun connectionFailed() {
        if (!finished) close(CloseReason.CONNECTION_FAILED)
    }

    internal fun channelInactive() {
        disconnected = true
        writabilityChanged()
        if (!finished) disconnectAction.get()?.invoke()
    }

    /** Responds with 500 if no response was started; otherwise closes the connection to truncate the response. */
    internal fun fail() {
        if (finished) return
        if (responseStarted) {
            close(CloseReason.HANDLER_FAILED)
        } else {
            endWith(HttpResponseStatus.INTERNAL_SERVER_ERROR)
        }
    }

    /** Responds with 503 instead of handling the request. */
    internal fun refuse() = endWith(HttpResponseStatus.SERVICE_UNAVAILABLE)

    private fun endWith(status: HttpResponseStatus) {
        responseStarted = true
        finished = true
        endsConnection = true
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status)
        response
            .headers()
            .set(
                HttpHeaderNames.CONTENT_LENGTH,
                0,
            ).set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        if (status == HttpResponseStatus.SERVICE_UNAVAILABLE) {
            response.headers().set(ServerConnectionHandler.RUN_STATE_HEADER, ServerConnectionHandler.RUN_STATE_NOT_RUN)
        }
        ctx.writeAndFlush(response).addListener(LingeringClose)
    }

    /** Calls [fail] if the handler has returned without a complete response. */
    internal fun failIfUnfinished() {
        if (!finished) fail()
    }

    internal fun handlerCompleted() {
        if (!handlerDone.compareAndSet(false, true)) return
        if (!finished) close(CloseReason.NOT_ANSWERED)
        onComplete()
    }
}
