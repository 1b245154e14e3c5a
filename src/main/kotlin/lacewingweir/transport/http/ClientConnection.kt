package lacewingweir.transport.http

import io.netty.buffer.ByteBufUtil
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.ChannelResult
import java.util.concurrent.atomic.AtomicInteger

/**
 * One connection to a server. Automatic reading is off while an answer is in progress: the next socket read happens
 * only once everything decoded so far was consumed, which bounds the memory held for a slow caller.
 */
internal class ClientConnection : SimpleChannelInboundHandler<HttpObject>() {
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

    override fun handlerAdded(ctx: ChannelHandlerContext) {
        context = ctx
    }

    internal fun send(request: HttpRequest) {
        val ctx = checkNotNull(context)
        ctx.writeAndFlush(request).addListener { if (!it.isSuccess) fail("write failed: ${it.cause()?.message}") }
    }

    internal suspend fun awaitHead(): Head =
        when (val event = nextEvent()) {
            is Event.Start -> Head.Received(event.response)
            is Event.Failure -> Head.Failed(event.reason)
            else -> Head.Failed("body without a head")
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
        val framed = HttpUtil.isContentLengthSet(response) || HttpUtil.isTransferEncodingChunked(response)
        delimitedByClose = !framed && response.status().code() !in BODYLESS_STATUS
        events.trySend(Event.Start(response))
    }

    private fun content(part: HttpContent) {
        if (part.content().isReadable) events.trySend(Event.Data(ByteBufUtil.getBytes(part.content())))
        if (part !is LastHttpContent) return
        // A body that only ends with the connection can't be told from one that was cut.
        if (delimitedByClose) fail("body has no length") else events.trySend(Event.End)
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

    /** Marks the connection as idle. Returns false if it can't be used again. */
    internal fun returnToPool(): Boolean {
        val ctx = context ?: return false
        if (!keepAlive || !ctx.channel().isActive || !events.isEmpty) return false
        if (!state.compareAndSet(BUSY, IDLE)) return false
        // Reads while idle, so that a close by the server is noticed.
        ctx.read()
        return true
    }

    /** Takes the connection for a new request. Returns false if it was closed while idle. */
    internal fun takeFromPool(): Boolean = state.compareAndSet(IDLE, BUSY) && context?.channel()?.isActive == true

    internal fun close() {
        state.set(CLOSED)
        context?.close()
    }

    private companion object {
        const val BUSY: Int = 0
        const val IDLE: Int = 1
        const val CLOSED: Int = 2
        val BODYLESS_STATUS: Set<Int> = setOf(204, 304)
    }
}
