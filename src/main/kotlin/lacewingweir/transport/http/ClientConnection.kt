package lacewingweir.transport.http

import io.netty.buffer.ByteBufUtil
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.ChannelResult
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

/**
 * One connection to a server. Automatic reading is off while an answer is in progress: the next socket read happens
 * only once everything decoded so far was consumed, which bounds the memory held for a slow caller.
 */
internal class ClientConnection(
    private val defaultIdleTimeoutMillis: Long,
) : SimpleChannelInboundHandler<HttpObject>() {
    internal sealed interface Head {
        class Received(
            val response: HttpResponse,
        ) : Head

        class Failed(
            val reason: String,
        ) : Head
    }

    private sealed interface Event {
        class Start(
            val response: HttpResponse,
        ) : Event

        class Data(
            val bytes: ByteArray,
        ) : Event

        data object End : Event

        class Failure(
            val reason: String,
        ) : Event
    }

    private val events = Channel<Event>(Channel.UNLIMITED)
    private val state = AtomicInteger(BUSY)

    @Volatile
    private var context: ChannelHandlerContext? = null

    @Volatile
    private var keepAlive = true
    private var delimitedByClose = false

    @Volatile
    private var written: ChannelFuture? = null

    @Volatile
    private var usableUntilNanos = Long.MAX_VALUE

    override fun handlerAdded(ctx: ChannelHandlerContext) {
        context = ctx
    }

    internal fun send(request: HttpRequest) {
        val ctx = checkNotNull(context)
        written =
            ctx.writeAndFlush(request).addListener { if (!it.isSuccess) fail("write failed: ${it.cause()?.message}") }
    }

    /** Waits for the head of the first answer that [accept] takes; skips those of earlier requests. */
    internal suspend fun awaitHead(accept: (HttpHeaders) -> Boolean): Head {
        while (true) {
            when (val event = nextEvent()) {
                is Event.Start -> {
                    if (accept(event.response.headers())) return Head.Received(event.response)
                    if (!skipBody()) return Head.Failed("connection closed after an answer to another request")
                }
                is Event.Failure -> return Head.Failed(event.reason)
                else -> return Head.Failed("body without a head")
            }
        }
    }

    private suspend fun skipBody(): Boolean {
        while (true) {
            when (nextEvent()) {
                is Event.Data -> Unit
                Event.End -> return keepAlive
                else -> return false
            }
        }
    }

    internal suspend fun readBody(): ReadResult =
        when (val event = nextEvent()) {
            is Event.Data -> ReadResult.Data(event.bytes)
            is Event.End -> ReadResult.End
            is Event.Failure -> ReadResult.Broken(event.reason)
            is Event.Start -> ReadResult.Broken("a second answer on the same request")
        }

    private suspend fun nextEvent(): Event {
        val ready: ChannelResult<Event> = events.tryReceive()
        if (ready.isSuccess) return ready.getOrThrow()
        if (ready.isClosed) return Event.Failure("connection closed")
        context?.read()
        val received = events.receiveCatching()
        return received.getOrNull() ?: Event.Failure("connection closed")
    }

    override fun channelRead0(
        ctx: ChannelHandlerContext,
        message: HttpObject,
    ) {
        if (state.get() == IDLE) {
            // A server that sends on an idle connection answers no request of ours.
            ctx.close()
            return
        }
        if (message.decoderResult().isFailure) {
            fail("malformed response: ${message.decoderResult().cause().message}")
            return
        }
        if (message is HttpResponse && message.status().codeClass() != HttpStatusClass.INFORMATIONAL) begin(message)
        if (message is HttpContent) content(message)
    }

    private fun begin(response: HttpResponse) {
        keepAlive = HttpUtil.isKeepAlive(response)
        usableUntilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(idleMillis(response))
        val framed = HttpUtil.isContentLengthSet(response) || HttpUtil.isTransferEncodingChunked(response)
        delimitedByClose = !framed && response.status().code() !in BODYLESS_STATUS
        events.trySend(Event.Start(response))
    }

    private fun content(part: HttpContent) {
        if (part.content().isReadable) events.trySend(Event.Data(ByteBufUtil.getBytes(part.content())))
        if (part !is LastHttpContent) return
        // A reset connection fails before this; an orderly close is the end of a body without a length.
        events.trySend(Event.End)
    }

    override fun channelReadComplete(ctx: ChannelHandlerContext) {
        if (events.isEmpty && state.get() == BUSY) ctx.read()
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        fail("connection closed by the server")
    }

    @Deprecated("Netty deprecates the method in its superinterface only")
    override fun exceptionCaught(
        ctx: ChannelHandlerContext,
        cause: Throwable,
    ) {
        fail(cause.message ?: cause.javaClass.simpleName)
        ctx.close()
    }

    private fun fail(reason: String) {
        events.trySend(Event.Failure(reason))
        events.close()
        state.set(CLOSED)
        context?.close()
    }

    internal val isClosed: Boolean
        get() = state.get() == CLOSED

    /** Marks the connection as idle. Returns false if it can't be used again. */
    internal fun returnToPool(): Boolean {
        val ctx = context ?: return false
        // The server may answer before it has read the request; the rest of it must not mix with the next one.
        val requestSent = written?.isSuccess == true
        val bodyFramed = keepAlive && !delimitedByClose
        val quiet = ctx.channel().isActive && events.isEmpty
        val reusable = requestSent && bodyFramed && quiet
        if (!reusable || !state.compareAndSet(BUSY, IDLE)) return false
        // Reads while idle, so that a close by the server is noticed.
        ctx.read()
        return true
    }

    /** Takes the connection for a new request. Returns false if it was closed while idle. */
    internal fun acquireFromPool(): Boolean {
        if (System.nanoTime() > usableUntilNanos) {
            close()
            return false
        }
        return state.compareAndSet(IDLE, BUSY) && context?.channel()?.isActive == true
    }

    /** How long the connection may stay idle after [response] with no risk that the server is closing it. */
    private fun idleMillis(response: HttpResponse): Long {
        val stated =
            keepAliveTimeout.find(response.headers().get("Keep-Alive").orEmpty()) ?: return defaultIdleTimeoutMillis
        return stated.groupValues[1].toLong() * MILLIS_PER_SECOND - IDLE_MARGIN_MILLIS
    }

    internal fun close() {
        state.set(CLOSED)
        context?.close()
    }

    private companion object {
        const val BUSY: Int = 0
        const val IDLE: Int = 1
        const val CLOSED: Int = 2
        val BODYLESS_STATUS: Set<Int> = setOf(204, 304)
        val keepAliveTimeout = Regex("""timeout=(\d{1,6})""")
        const val MILLIS_PER_SECOND: Long = 1_000

        /** Covers the way of the last answer and of the next request, and timers that fire late. */
        const val IDLE_MARGIN_MILLIS: Long = 400
    }
}
