package lacewingweir.transport.http

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.async
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.startsWith
import java.io.IOException
import java.net.Socket
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong

/**
 * Guards against requests that had arrived when their server closed the connection as idle, and get no answer.
 *
 * An event loop that is held up stands for a process that gets no processor time.
 */
@Timeout(30)
internal class RequestLostByIdleCloseTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val loop = group.next()
    private val scope = CoroutineScope(SupervisorJob() + loop.asCoroutineDispatcher())

    @Volatile
    private var idleMillis = 10_000L
    private val streamHeadSent = CompletableDeferred<Unit>()
    private val streamMayEnd = CompletableDeferred<Unit>()
    private val holdAtAcceptMillis = AtomicLong()
    private val server =
        HttpServer(group, scope, "127.0.0.1", 0, ::limits) { exchange ->
            when (exchange.path) {
                "/stream" -> stream(exchange)
                "/slow" -> delay(PAUSE_MILLIS).also { exchange.respond(200) }
                else -> exchange.respond(200)
            }
        }.start()

    private fun limits(): HttpLimits {
        Thread.sleep(holdAtAcceptMillis.getAndSet(0))
        return HttpLimits(idleReadMillis = idleMillis)
    }

    private suspend fun stream(exchange: ServerExchange) {
        exchange.startStream(200)
        exchange.write("first".encodeToByteArray())
        streamHeadSent.complete(Unit)
        streamMayEnd.await()
        exchange.finish()
    }

    @AfterEach
    fun close() {
        server.close()
        scope.cancel()
        group.shutdownGracefully()
    }

    private fun connect() = Socket("127.0.0.1", server.port).apply { soTimeout = READ_TIMEOUT_MILLIS }

    private fun Socket.send(text: String) = getOutputStream().write(text.encodeToByteArray())

    /** Returns the status line and the headers of the next response, or why there is none. */
    private fun Socket.readHead(): String =
        try {
            val head = StringBuilder()
            while (!head.endsWith("\r\n\r\n")) {
                val byte = getInputStream().read()
                if (byte < 0) return "end of input"
                head.append(byte.toChar())
            }
            head.toString()
        } catch (e: IOException) {
            "failed: ${e.message}"
        }

    private fun Socket.exchange(text: String = REQUEST): String {
        send(text)
        return readHead()
    }

    private fun holdUpLoop(millis: Long) = loop.execute { Thread.sleep(millis) }

    /** Holds the loop up while it handles what it has selected, so that its tasks run before it selects again. */
    private fun holdUpBehindSelect(millis: Long) {
        holdAtAcceptMillis.set(millis)
        connect()
        while (holdAtAcceptMillis.get() > 0) Thread.sleep(1)
    }

    /** Expects an answer on each of the [sockets], and closes them. */
    private fun expectAnswers(
        play: String,
        sockets: List<Socket>,
    ) {
        val answers = sockets.map { it.readHead().substringBefore("\r\n") }
        println("$play: answers=${answers.groupingBy { it }.eachCount()} figures=${server.idleCloses}")
        expectThat(answers.filter { it == OK }.size).isEqualTo(CONNECTIONS)
        sockets.forEach { it.close() }
    }

    private fun drain() = scope.async { server.drain(DRAIN_MILLIS) }

    @Test
    fun `requests that arrived before their idle connections are closed are answered`() {
        val sockets = List(CONNECTIONS) { connect() }
        sockets.forEach { expectThat(it.exchange()).startsWith(OK) }
        Thread.sleep(PAUSE_MILLIS)
        holdUpBehindSelect(HOLD_MILLIS)
        sockets.forEach { it.send(REQUEST) }
        server.closeIdleConnections()
        expectAnswers("idle close", sockets)
    }

    /** The clock of the idle time-out goes on while the loop is held up. */
    @Test
    fun `a request that arrived before its connection has been idle for too long is answered`() {
        idleMillis = IDLE_MILLIS
        connect().use { socket ->
            expectThat(socket.exchange()).startsWith(OK)
            // The second hold begins before the time-out, and ends together with it behind the first one.
            loop.schedule({ Thread.sleep(2 * OVERLAP_MILLIS) }, IDLE_MILLIS - OVERLAP_MILLIS, TimeUnit.MILLISECONDS)
            loop.schedule({ Thread.sleep(HOLD_MILLIS) }, IDLE_MILLIS - OVERLAP_MILLIS / 2, TimeUnit.MILLISECONDS)
            Thread.sleep(IDLE_MILLIS + 2 * OVERLAP_MILLIS)
            expectThat(socket.exchange()).startsWith(OK)
        }
    }

    @Test
    fun `a request whose head has arrived in part when its server drains is answered`() {
        val heads = listOf("POST /x", "POST /x HTTP/1.1\r\nHost: h\r\n", "POST /x HTTP/1.1\r\nHost: h\r\nCont")
        val sockets = heads.map { connect() }
        sockets.forEach { expectThat(it.exchange()).startsWith(OK) }
        sockets.zip(heads).forEach { (socket, head) -> socket.send(head) }
        Thread.sleep(PAUSE_MILLIS)
        drain()
        Thread.sleep(DRAIN_MILLIS / 2)
        val rest = "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx"
        val answers = sockets.zip(heads).map { (socket, head) -> socket.exchange(rest.removePrefix(head)) }
        sockets.forEach { it.close() }
        expectThat(answers.filter { it.startsWith(OK) }.size).isEqualTo(heads.size)
    }

    @Test
    fun `requests on connections that wait in the backlog when their server drains are answered`() {
        holdUpLoop(HOLD_MILLIS)
        val sockets = List(CONNECTIONS) { connect().apply { send(REQUEST) } }
        val drained = drain()
        expectAnswers("backlog", sockets)
        runBlocking { expectThat(drained.await()).isEqualTo(true) }
    }

    /** The system accepts connections for a closed listener until its event loop selects again. */
    @Test
    fun `requests on connections that arrive while their server closes its listener are answered`() {
        holdUpLoop(HOLD_MILLIS)
        // Both run without a selection in between, since the loop selects behind a long task.
        val drained = drain()
        holdUpLoop(HOLD_MILLIS)
        Thread.sleep(HOLD_MILLIS + PAUSE_MILLIS)
        val sockets = List(CONNECTIONS) { connect().apply { send(REQUEST) } }
        expectAnswers("closing listener", sockets)
        runBlocking { expectThat(drained.await()).isEqualTo(true) }
    }

    /** The head was sent before the server began to drain, so the client doesn't know that the connection ends. */
    @Test
    fun `a request behind a stream that began before the drain is answered`() {
        connect().use { socket ->
            expectThat(socket.exchange("GET /stream HTTP/1.1\r\nHost: h\r\n\r\n")).startsWith(OK)
            runBlocking { streamHeadSent.await() }
            val drained = drain()
            Thread.sleep(PAUSE_MILLIS)
            streamMayEnd.complete(Unit)
            val body = StringBuilder()
            while (!body.endsWith("0\r\n\r\n")) body.append(socket.getInputStream().read().toChar())
            val answer = socket.exchange()
            expectThat(answer).startsWith(OK)
            expectThat(answer.lowercase()).contains("connection: close")
            runBlocking { expectThat(drained.await()).isEqualTo(true) }
        }
    }

    @Test
    fun `a pipelined request that arrived before its connection is announced to end is answered`() {
        connect().use { socket ->
            server.beginDrain()
            socket.send("GET /slow HTTP/1.1\r\nHost: h\r\n\r\n")
            Thread.sleep(PAUSE_MILLIS / 2)
            holdUpBehindSelect(HOLD_MILLIS)
            socket.send(REQUEST)
            expectThat(socket.readHead()).startsWith(OK)
            expectThat(socket.readHead()).startsWith(OK)
        }
    }

    @Test
    fun `the first request on a connection that was opened just before its server drains is answered`() {
        connect().use { socket ->
            Thread.sleep(PAUSE_MILLIS)
            drain()
            Thread.sleep(PAUSE_MILLIS)
            expectThat(socket.exchange()).startsWith(OK)
        }
    }

    @Test
    fun `a request that is still incomplete when the drain ends is refused as not run`() {
        connect().use { socket ->
            socket.send("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nab")
            Thread.sleep(PAUSE_MILLIS)
            runBlocking { drain().await() }
            val answer = socket.readHead()
            expectThat(answer).startsWith("HTTP/1.1 503")
            expectThat(answer.lowercase()).contains("x-lacewingweir-run: not-run")
        }
    }

    private companion object {
        const val CONNECTIONS = 20
        const val PAUSE_MILLIS = 100L
        const val HOLD_MILLIS = 400L
        const val IDLE_MILLIS = 1_000L
        const val OVERLAP_MILLIS = 60L
        const val DRAIN_MILLIS = 2_000L
        const val READ_TIMEOUT_MILLIS = 5_000
        const val OK = "HTTP/1.1 200 OK"
        const val REQUEST = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
    }
}
