package lacewingweir.transport.http

import io.github.oshai.kotlinlogging.KotlinLogging
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.DefaultFullHttpResponse
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
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicReference

private val logger = KotlinLogging.logger {}

/**
 * A [ServerExchange] on a Netty connection. Calls [onComplete] once on the event loop, when the next request can be
 * handled, and [onUnanswered] before it closes the connection without a complete response.
 */
internal class NettyServerExchange(
    private val ctx: ChannelHandlerContext,
    request: HttpRequest,
    private val requestBody: RequestBody,
    override val arrivedAtNanos: Long,
    limits: HttpLimits,
    held: HeldBytes,
    private val draining: () -> Boolean,
    private val onUnanswered: (NettyServerExchange, CloseReason) -> Unit,
    private val onComplete: () -> Unit,
) : ServerExchange {
    private val decoder = QueryStringDecoder(request.uri())

    private val completedAtNanos = System.nanoTime()

    /** The time since the last byte of the request had been read. */
    internal val sinceLastByteMillis: Long
        get() = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - completedAtNanos)
    private val keepAlive = HttpUtil.isKeepAlive(request)
    private val disconnectAction = AtomicReference<(() -> Unit)?>(null)
    private val handlerDone = AtomicBoolean()
    private val unansweredReported = AtomicBoolean()
    private val roomSignal = AtomicReference(CompletableDeferred<Unit>())
    private val held = held.open(::onUnread)
    private val output = ResponseOutput(ctx, limits.writeStallMillis, this.held, ::signalRoom)

    @Volatile
    private var disconnected = false

    @Volatile
    private var finished = false

    /** Whether the connection ends without a complete response. */
    @Volatile
    private var closing = false

    /** Whether the connection is closed behind the response, so that no further request on it is handled. */
    @Volatile
    internal var endsConnection = false
        private set

    @Volatile
    override var responseStarted: Boolean = false
        private set

    @Volatile
    private var receivedBody: ByteArray? = requestBody.toByteArray()
    override val body: ByteArray
        get() = checkNotNull(receivedBody) { "the request is not handled any more" }
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
        awaitRoom({ held.hasRoomFor(body.size) }, held::makeRoom)
        responseStarted = true
        val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status))
        setHeaders(response, headers)
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.size)
        finished = true
        output.enqueue(response)
        output.enqueueBody(body)
        enqueueEnd()
        output.flush()
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
        checkConnected()
        output.enqueue(response)
        output.flush()
    }

    override suspend fun write(chunk: ByteArray) {
        check(responseStarted && !finished) { "no streamed response is in progress" }
        awaitRoom(held::hasRoom) { held.endIfUnread() }
        output.enqueueBody(chunk)
        output.flush()
    }

    override suspend fun finish() {
        check(responseStarted && !finished) { "no streamed response is in progress" }
        checkConnected()
        finished = true
        enqueueEnd()
        output.flush()
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

    private fun enqueueEnd() {
        output.enqueue(
            DefaultLastHttpContent(),
            onWritten = if (endsConnection) LingeringClose.BEHIND_REQUEST else null,
        )
    }

    private fun checkConnected() {
        if (disconnected || closing || !ctx.channel().isActive) throw PeerClosedException("connection is closed")
    }

    /** Waits until [hasRoom]. Calls [makeRoom] with the milliseconds of the wait as long as there is none. */
    private suspend fun awaitRoom(
        hasRoom: () -> Boolean,
        makeRoom: (waitedMillis: Long) -> Unit,
    ) {
        checkConnected()
        if (hasRoom()) return
        val startNanos = System.nanoTime()
        while (true) {
            val signal = roomSignal.get()
            checkConnected()
            if (hasRoom()) return
            makeRoom(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos))
            withTimeoutOrNull(ROOM_POLL_MILLIS) { signal.await() }
        }
    }

    private fun onUnread(unread: HeldBytes.Unread) {
        logger.info {
            "http: response ended, its client does not read it $method $path bytes=${unread.bytes} " +
                "unreadMs=${unread.millis} finished=$finished"
        }
        close(CloseReason.WRITE_STALLED)
    }

    override fun abort() = close(CloseReason.ABORTED)

    private fun close(reason: CloseReason) {
        if (!disconnected && unansweredReported.compareAndSet(false, true)) onUnanswered(this, reason)
        val wasClosing = closing
        closing = true
        when {
            reason in IMMEDIATE_CLOSES || !output.isDelivering -> ctx.close()
            !wasClosing -> output.closeBehind()
        }
        signalRoom()
    }

    override fun onDisconnect(action: () -> Unit) {
        val alreadyRun = AtomicBoolean()
        val runOnce = { if (alreadyRun.compareAndSet(false, true)) action() }
        disconnectAction.set(runOnce)
        if (disconnected) runOnce()
    }

    private fun signalRoom() {
        roomSignal.getAndSet(CompletableDeferred()).complete(Unit)
    }

    internal fun writabilityChanged() = output.pump()

    /** Whether a part of the response has not been taken up yet by the network. */
    internal val isDelivering: Boolean
        get() = output.isDelivering

    /** Logs the state of a request whose server ends before it has responded. */
    internal fun logUnfinished() =
        logger.info {
            "http: request unfinished at the end of the server $method $path started=$responseStarted " +
                "finished=$finished sinceLastByteMs=$sinceLastByteMillis"
        }

    /** Reports that the connection has failed in the middle of the response. */
    internal fun connectionFailed() {
        if (!finished) close(CloseReason.CONNECTION_FAILED)
    }

    internal fun channelInactive() {
        disconnected = true
        output.release()
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
    internal fun refuse() {
        releaseBody()
        endWith(HttpResponseStatus.SERVICE_UNAVAILABLE)
    }

    /** Drops the body of a request that is not handled any more, because kept connections refer to their last one. */
    internal fun releaseBody() {
        receivedBody = null
        requestBody.close()
    }

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
        output.enqueue(response, onWritten = LingeringClose.BEHIND_REQUEST)
        output.flush()
    }

    /** Calls [fail] if the handler has returned without a complete response. */
    internal fun failIfUnfinished() {
        if (!finished) fail()
    }

    internal fun handlerCompleted() {
        if (!handlerDone.compareAndSet(false, true)) return
        releaseBody()
        if (!finished) close(CloseReason.NOT_ANSWERED)
        ctx.executor().execute { output.whenDrained(onComplete) }
    }

    private companion object {
        val IMMEDIATE_CLOSES = setOf(CloseReason.WRITE_STALLED, CloseReason.CONNECTION_FAILED)

        /** Interval at which a response that waits for room checks whether others leave it some. */
        const val ROOM_POLL_MILLIS: Long = 50
    }
}
