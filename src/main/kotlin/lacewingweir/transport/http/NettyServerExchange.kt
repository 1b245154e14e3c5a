package lacewingweir.transport.http

import io.netty.buffer.Unpooled
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelFutureListener
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

/** A [ServerExchange] on a Netty connection. [onComplete] is called once, when the next request may begin. */
internal class NettyServerExchange(
    private val ctx: ChannelHandlerContext,
    request: HttpRequest,
    override val body: ByteArray,
    override val arrivedAtNanos: Long,
    private val limits: HttpLimits,
    private val draining: () -> Boolean,
    private val onComplete: () -> Unit,
) : ServerExchange {
    private val decoder = QueryStringDecoder(request.uri())
    private val keepAlive = HttpUtil.isKeepAlive(request)
    private val disconnectAction = AtomicReference<(() -> Unit)?>(null)
    private val completed = AtomicBoolean()
    private val writable = AtomicReference(CompletableDeferred<Unit>())

    @Volatile
    private var gone = false

    @Volatile
    private var finished = false

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
        check(!responseStarted) { "an answer was already started" }
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
        check(!responseStarted) { "an answer was already started" }
        responseStarted = true
        val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status))
        setHeaders(response, headers)
        response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED)
        send(response, last = false)
    }

    override suspend fun write(chunk: ByteArray) {
        check(responseStarted && !finished) { "no streamed answer is in progress" }
        send(DefaultHttpContent(Unpooled.wrappedBuffer(chunk)), last = false)
    }

    override suspend fun finish() {
        check(responseStarted && !finished) { "no streamed answer is in progress" }
        finished = true
        send(DefaultLastHttpContent(), last = true)
    }

    private fun setHeaders(
        response: HttpResponse,
        headers: List<Pair<String, String>>,
    ) {
        for ((name, value) in headers) response.headers().add(name, value)
        if (!keepAlive || draining()) response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
    }

    private suspend fun send(
        message: Any,
        last: Boolean,
    ) {
        if (gone || !ctx.channel().isActive) throw PeerClosedException("connection is closed")
        val future = ctx.writeAndFlush(message)
        if (last && (!keepAlive || draining())) future.addListener(ChannelFutureListener.CLOSE)
        // After a last answer that was written the connection may already be closed, which is no failure.
        if (!future.isSuccess && !ctx.channel().isWritable) awaitWritable(future)
    }

    private suspend fun awaitWritable(pending: ChannelFuture) {
        while (!ctx.channel().isWritable && !gone) {
            val signal = writable.get()
            if (ctx.channel().isWritable || gone) break
            withTimeoutOrNull(limits.writeStallMillis) { signal.await() } ?: run {
                pending.cancel(false)
                abort()
                throw PeerClosedException("peer read nothing for ${limits.writeStallMillis} ms")
            }
        }
        if (gone) throw PeerClosedException("connection is closed")
    }

    override fun abort() {
        ctx.close()
    }

    override fun onDisconnect(action: () -> Unit) {
        val once = AtomicBoolean()
        val guarded = { if (once.compareAndSet(false, true)) action() }
        disconnectAction.set(guarded)
        if (gone) guarded()
    }

    internal fun writabilityChanged() {
        writable.getAndSet(CompletableDeferred()).complete(Unit)
    }

    internal fun disconnected() {
        gone = true
        writabilityChanged()
        if (!finished) disconnectAction.get()?.invoke()
    }

    /** Answers with 500 if nothing was sent yet; otherwise closes the connection, so that the answer shows as cut. */
    internal fun fail() {
        if (finished) return
        if (responseStarted) {
            abort()
            return
        }
        responseStarted = true
        finished = true
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.INTERNAL_SERVER_ERROR)
        response
            .headers()
            .set(
                HttpHeaderNames.CONTENT_LENGTH,
                0,
            ).set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        ctx.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE)
    }

    /** Treats a handler that returned without a complete answer as failed. */
    internal fun ensureAnswered() {
        if (!finished) fail()
    }

    internal fun complete() {
        if (!completed.compareAndSet(false, true)) return
        if (!finished) ctx.close()
        onComplete()
    }
}
