package lacewingweir.transport.http

import io.github.oshai.kotlinlogging.KotlinLogging
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
import io.netty.util.concurrent.Future
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.ChannelResult
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

private val logger = KotlinLogging.logger {}

/**
 * A connection to a server that carries one request at a time.
 *
 * A faulty server may send a response twice, and the second copy at any later time. What becomes of such bytes depends
 * on when they arrive:
 * - While the connection is idle, they close it.
 * - During a later request, also while its body is being sent, a response that names another request of this client to
 *   the same server is skipped if that request is over.
 * - A response that names no request, or any other one, could be the answer as well as a response to another request.
 *   It ends the connection, since a later response with the right id might be an extra one.
 * - A response that names the same request would pass for the answer to a second send of it, so no id is carried twice.
 * - Behind the end of a body, before the connection is returned, they keep it from being used again.
 *
 * Auto-read is off: while a response is in progress, the socket is read only after everything decoded so far has been
 * consumed. This bounds the memory that a slow reader of the response can take up.
 *
 * [hasEnded] tells whether a request of this client with the id to the same server is over. [onAnswered] is called with
 * the id of a request as soon as a response names it, and [onSkipped] with the status of each response that is skipped.
 * Responses to requests that have been answered on the connection are reported to [secondResponses], and those that
 * end the connection because they are malformed to [malformedResponses].
 */
internal class ClientConnection(
    private val defaultIdleTimeoutMillis: Long,
    private val hasEnded: (id: String) -> Boolean = { false },
    private val onAnswered: (id: String) -> Unit = {},
    private val onSkipped: (status: Int) -> Unit = {},
    private val secondResponses: SecondResponses = SecondResponses(),
    private val malformedResponses: MalformedResponses = MalformedResponses(),
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

    /** Whether the decoder is in an interim response, for which it also reports an end. */
    private var inInterimResponse = false
    private var interimResponses = 0

    /** Whether the connection has failed. Used on its event loop only. */
    private var failed = false

    @Volatile
    private var lastWrite: ChannelFuture? = null

    @Volatile
    private var reusableUntilNanos = Long.MAX_VALUE

    @Volatile
    private var idleEnd: Future<*>? = null

    /** Hash codes of the ids of all requests on this connection. A collision costs no more than another connection. */
    private val carriedIds = HashSet<Int>()
    private var requests = 0

    @Volatile
    private var current: ClientRequest? = null
    private val createdAtNanos = System.nanoTime()
    private var skipped = 0
    private var skippedAtNanos = 0L

    /** The last answers of the connection, to which second ones may come. */
    private val answers = ArrayDeque<RecordedAnswer>()

    /** To be placed before this handler. */
    internal val decoder = ResponseDecoder { current?.method == "HEAD" }

    /** Whether bytes had arrived behind the last response when its end was reported. */
    @Volatile
    internal var followed = false
        private set

    /** How the connection has been used so far. */
    internal val use: ConnectionUse
        get() = ConnectionUse(requests, TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - createdAtNanos))

    override fun handlerAdded(ctx: ChannelHandlerContext) {
        context = ctx
    }

    /** Returns whether a request with this [id] has been sent on this connection. */
    internal fun hasCarried(id: String): Boolean = id.hashCode() in carriedIds

    /** Sends [message], which encodes [request]. */
    internal fun send(
        message: HttpRequest,
        request: ClientRequest,
    ) {
        val ctx = checkNotNull(context)
        requests++
        current = request
        request.id?.let { carriedIds += it.hashCode() }
        // The event loop of a reused connection may reach the end of the response before this thread goes on.
        val written = ctx.newPromise()
        written.addListener { if (!it.isSuccess) fail("write failed: ${it.cause()?.message}") }
        lastWrite = written
        ctx.writeAndFlush(message, written)
    }

    /** Waits for the head of the response to [request]. Skips a few responses to other requests. */
    internal suspend fun awaitHead(request: ClientRequest): Head {
        val skippedBefore = skipped
        repeat(MAX_SKIPPED_RESPONSES) {
            val head = nextHead(request)
            if (head != null) return head.also { if (skipped > skippedBefore) logOutcomeAfterSkipped(request, head) }
        }
        return Head.Failed("too many responses to other requests")
    }

    /** Returns null if a response to another request was skipped. */
    private suspend fun nextHead(request: ClientRequest): Head? =
        when (val event = nextEvent()) {
            is Event.Start ->
                when (attribute(request, event.response.headers())) {
                    Attribution.ANSWER -> answer(request, event.response)
                    Attribution.UNKNOWN -> unattributable(request, event.response)
                    Attribution.OTHER_REQUEST ->
                        if (skip(request, event.response)) {
                            null
                        } else {
                            Head.Failed("connection not usable after a response to another request")
                        }
                }
            is Event.Failure -> Head.Failed(event.reason)
            else -> Head.Failed("body without a head")
        }

    /** What a response belongs to. */
    private enum class Attribution {
        ANSWER,
        OTHER_REQUEST,
        UNKNOWN,
    }

    private fun attribute(
        request: ClientRequest,
        headers: HttpHeaders,
    ): Attribution {
        val named = request.responseId(headers)
        return when {
            named == request.id -> Attribution.ANSWER
            // A request without an id has a connection of its own, and its answer names none.
            request.id == null -> Attribution.OTHER_REQUEST
            named == null -> Attribution.UNKNOWN
            hasCarried(named) || hasEnded(named) -> Attribution.OTHER_REQUEST
            else -> Attribution.UNKNOWN
        }
    }

    private fun answer(
        request: ClientRequest,
        response: HttpResponse,
    ): Head {
        request.id?.let { id ->
            synchronized(answers) {
                if (answers.size == MAX_RECORDED_ANSWERS) answers.removeFirst()
                answers.addLast(RecordedAnswer(id, response.status().code(), System.nanoTime()))
            }
        }
        return Head.Received(response)
    }

    /** Reports [response] if its request has been answered on this connection. Returns whether it has. */
    private fun reportIfSecond(
        response: HttpResponse,
        moment: SecondResponseMoment,
    ): Boolean {
        val named = current?.responseId?.invoke(response.headers()) ?: return false
        val answer = synchronized(answers) { answers.lastOrNull { it.id == named } } ?: return false
        secondResponses.record(answer, response.status().code(), moment, use)
        return true
    }

    private fun unattributable(
        request: ClientRequest,
        response: HttpResponse,
    ): Head {
        val named = request.responseId(response.headers())
        logger.info {
            "http: id=${request.id} unattributable response status=${response.status().code()} names=$named $use"
        }
        return Head.Failed("a response that may be the answer names ${named ?: "no request"}")
    }

    /** Returns whether the connection can be used after [response]. */
    private suspend fun skip(
        request: ClientRequest,
        response: HttpResponse,
    ): Boolean {
        val status = response.status().code()
        onSkipped(status)
        request.onSkipped()
        reportIfSecond(response, SecondResponseMoment.LATER_REQUEST)
        logger.info {
            val named = request.responseId(response.headers())
            "http: id=${request.id} skipped response status=$status names=$named here=${named?.let(::hasCarried)} $use"
        }
        skipped++
        skippedAtNanos = System.nanoTime()
        return skipBody()
    }

    private fun logOutcomeAfterSkipped(
        request: ClientRequest,
        head: Head,
    ) = logger.info {
        val waitedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - skippedAtNanos)
        val outcome =
            when (head) {
                is Head.Received -> "status=${head.response.status().code()}"
                is Head.Failed -> "failed: ${head.reason}"
            }
        "http: id=${request.id} after skipped responses $outcome waitedMs=$waitedMillis $use"
    }

    /** Returns whether the connection can be used after the body. */
    private suspend fun skipBody(): Boolean {
        var skippedBytes = 0
        while (skippedBytes <= MAX_SKIPPED_BODY_BYTES) {
            when (val event = nextEvent()) {
                is Event.Data -> skippedBytes += event.bytes.size
                Event.End -> return keepAlive
                else -> return false
            }
        }
        return false
    }

    internal suspend fun readBody(): ReadResult =
        when (val event = nextEvent()) {
            is Event.Data -> ReadResult.Data(event.bytes)
            is Event.End -> ReadResult.End
            is Event.Failure -> ReadResult.Broken(event.reason)
            is Event.Start -> ReadResult.Broken("a second response to the same request")
        }

    private suspend fun nextEvent(): Event {
        val buffered: ChannelResult<Event> = events.tryReceive()
        if (buffered.isSuccess) return buffered.getOrThrow()
        if (buffered.isClosed) return Event.Failure("connection closed")
        context?.read()
        val received = events.receiveCatching()
        return received.getOrNull() ?: Event.Failure("connection closed")
    }

    override fun channelRead0(
        ctx: ChannelHandlerContext,
        message: HttpObject,
    ) {
        if (state.get() == IDLE) {
            // No request is in progress, so data on an idle connection is a protocol violation.
            reportIdleData(message)
            ctx.close()
            return
        }
        if (message.decoderResult().isFailure) {
            onMalformed(message.decoderResult().cause())
            return
        }
        if (message is HttpResponse) {
            inInterimResponse = message.status().codeClass() == HttpStatusClass.INFORMATIONAL
            if (inInterimResponse) onInterimHead() else onHead(message)
        }
        if (message is HttpContent && !inInterimResponse) onContent(message)
    }

    private fun onMalformed(cause: Throwable) {
        val reason = cause.message.orEmpty().printable()
        if (!failed) malformedResponses.record(cause.responseDefect(), reason, current, use)
        fail("malformed response: $reason")
    }

    private fun reportIdleData(message: HttpObject) {
        if (message is HttpResponse && message.decoderResult().isSuccess) {
            if (reportIfSecond(message, SecondResponseMoment.IDLE)) return
            logger.info {
                val named = current?.responseId?.invoke(message.headers())
                "http: idle connection ended by a response status=${message.status().code()} names=$named $use"
            }
        } else if (message !is HttpContent || message.decoderResult().isFailure) {
            logger.info { "http: idle connection ended by bytes that are no response $use" }
        }
    }

    /** Interim responses have no body, and the response to the request follows them. */
    private fun onInterimHead() {
        if (++interimResponses > MAX_INTERIM_RESPONSES) fail("too many interim responses")
    }

    private fun onHead(response: HttpResponse) {
        interimResponses = 0
        current?.let { request ->
            request.id?.takeIf { it == request.responseId(response.headers()) }?.let(onAnswered)
        }
        keepAlive = HttpUtil.isKeepAlive(response)
        reusableUntilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(maxIdleMillis(response))
        delimitedByClose = !response.hasFraming() && response.status().code() !in BODYLESS_STATUS
        events.trySend(Event.Start(response))
    }

    private fun onContent(part: HttpContent) {
        if (part.content().isReadable) events.trySend(Event.Data(ByteBufUtil.getBytes(part.content())))
        if (part !is LastHttpContent) return
        // A reset connection has failed before this point; an orderly close ends a body that has no length.
        followed = decoder.hasMoreBytes
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
        failed = true
        events.trySend(Event.Failure(reason))
        events.close()
        state.set(CLOSED)
        context?.close()
    }

    internal val isClosed: Boolean
        get() = state.get() == CLOSED

    /** Marks the connection as idle. Returns `false` if it can't be reused. */
    internal fun returnToPool(): Boolean {
        val ctx = context ?: return false
        val behind = events.tryReceive().getOrNull()
        if (behind is Event.Start) reportIfSecond(behind.response, SecondResponseMoment.BEHIND_ANSWER)
        // The server may respond before the request is fully written; its rest must not precede the next request.
        val requestSent = lastWrite?.isSuccess == true
        val persistent = keepAlive && !delimitedByClose
        val openAndDrained = ctx.channel().isActive && behind == null && events.isEmpty
        val reusable = requestSent && persistent && openAndDrained && carriedIds.size < MAX_CARRIED_IDS
        if (!reusable || !state.compareAndSet(BUSY, IDLE)) return false
        // Reads while idle in order to detect that the server closes the connection.
        ctx.read()
        // A server whose path has gone silent never closes it.
        val idleNanos = reusableUntilNanos - System.nanoTime()
        idleEnd = ctx.executor().schedule({ closeIfIdle() }, idleNanos, TimeUnit.NANOSECONDS)
        return true
    }

    /** Closes the connection if it has been idle for its whole time, also if it was used meanwhile. */
    private fun closeIfIdle() {
        if (System.nanoTime() >= reusableUntilNanos && state.compareAndSet(IDLE, CLOSED)) context?.close()
    }

    /** Acquires the idle connection for a new request. Returns `false` if it has been closed or idle for too long. */
    internal fun acquireFromPool(): Boolean {
        idleEnd?.cancel(false)
        if (System.nanoTime() > reusableUntilNanos) {
            close()
            return false
        }
        val channel = context?.channel() ?: return false
        // The server may have ended the connection while the event loop was held up.
        if (channel.eventLoop().inEventLoop()) channel.readArrived()
        return state.compareAndSet(IDLE, BUSY) && channel.isActive
    }

    /** Returns how long the connection can stay idle after [response] before the server may close it. */
    private fun maxIdleMillis(response: HttpResponse): Long {
        val advertised =
            keepAliveTimeout.find(response.headers().get("Keep-Alive").orEmpty()) ?: return defaultIdleTimeoutMillis
        return advertised.groupValues[1].toLong() * MILLIS_PER_SECOND - IDLE_MARGIN_MILLIS
    }

    internal fun close() {
        state.set(CLOSED)
        context?.close()
    }

    private companion object {
        const val BUSY: Int = 0
        const val IDLE: Int = 1
        const val CLOSED: Int = 2

        /** At most one earlier request of a connection is still unanswered, but its server may respond repeatedly. */
        const val MAX_SKIPPED_RESPONSES: Int = 8
        const val MAX_INTERIM_RESPONSES: Int = 32

        /** Bounds the memory for ids, which must not be forgotten, at the price of one new connection in so many. */
        const val MAX_CARRIED_IDS: Int = 256
        const val MAX_RECORDED_ANSWERS: Int = 8
        const val MAX_SKIPPED_BODY_BYTES: Int = 1024 * 1024
        val BODYLESS_STATUS: Set<Int> = setOf(204, 304)
        val keepAliveTimeout = Regex("""timeout=(\d{1,6})""")
        const val MILLIS_PER_SECOND: Long = 1_000

        /** Allows for the transit times of the last response and of the next request, and for timers that fire late. */
        const val IDLE_MARGIN_MILLIS: Long = 400
    }
}
