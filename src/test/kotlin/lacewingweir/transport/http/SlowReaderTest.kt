package lacewingweir.transport.http

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.job
import lacewingweir.testing.smallWindowSocket
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import java.io.IOException
import java.net.Socket
import java.util.concurrent.atomic.AtomicInteger

/** Clients that read slowly or not at all, on a server that holds [MAX_BYTES] for all of them. */
@Timeout(40)
internal class SlowReaderTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val scope = CoroutineScope(SupervisorJob() + group.next().asCoroutineDispatcher())
    private val held = HeldBytes(MAX_BYTES, FULL_STALL_MILLIS)
    private val streamed = AtomicInteger()
    private val server =
        HttpServer(group, scope, "127.0.0.1", 0, held = held) { exchange ->
            val count = exchange.query.toInt()
            when (exchange.path) {
                "/complete" -> exchange.respond(200, body = ByteArray(count))
                "/cancelled" -> {
                    exchange.startStream(200)
                    exchange.write(ByteArray(count))
                    currentCoroutineContext().job.cancel()
                }
                else -> {
                    exchange.startStream(200)
                    repeat(count) {
                        exchange.write(ByteArray(PART_BYTES))
                        streamed.incrementAndGet()
                    }
                    exchange.finish()
                }
            }
        }.start()

    @AfterEach
    fun close() {
        server.close()
        scope.cancel()
        group.shutdownGracefully()
    }

    /** Connects with a small window and sends a request. */
    private fun request(target: String) =
        smallWindowSocket(server.port, READ_TIMEOUT_MILLIS).apply {
            getOutputStream().write("GET $target HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n".encodeToByteArray())
        }

    private fun Socket.readAll(pauseMillis: Long = 0): Int {
        var total = 0
        val part = ByteArray(PART_BYTES)
        try {
            while (true) {
                val count = getInputStream().read(part)
                if (count < 0) return total
                total += count
                if (pauseMillis > 0) Thread.sleep(pauseMillis)
            }
        } catch (_: IOException) {
            return total
        }
    }

    private fun await(condition: () -> Boolean) {
        val deadline = System.nanoTime() + AWAIT_NANOS
        while (!condition() && System.nanoTime() < deadline) Thread.sleep(5)
        expectThat(condition()).isEqualTo(true)
    }

    /** Guards against an endpoint that resets its response because a slow caller keeps it from being read. */
    @Test
    fun `a stream is taken up while its client does not read yet`() {
        request("/stream?70").use { socket ->
            await { streamed.get() == 70 }
            expectThat(held.figures.responses).isEqualTo(1)
            expectThat(socket.readAll()).isGreaterThan(70 * PART_BYTES)
        }
        await { held.figures.bytes == 0L }
        expectThat(held.figures.ended).isEqualTo(0)
    }

    /** Guards against endless memory for a client that does not read, and against clients that suffer from it. */
    @Test
    fun `the stream of a client that does not read is ended, another one is not`() {
        request("/stream?1000").use {
            await { held.figures.bytes >= MAX_BYTES / 2 }
            request("/stream?100").use { reader ->
                expectThat(reader.readAll()).isGreaterThan(100 * PART_BYTES)
            }
            await { held.figures.ended == 1L }
        }
        expectThat(held.figures).isEqualTo(HeldFigures(0, 0, 0, 1))
        await { server.unansweredCloses == mapOf(CloseReason.WRITE_STALLED to 1L) }
    }

    /** Guards against clients that get no response because others don't read theirs. */
    @Test
    fun `clients that do not read large responses keep none from others`() {
        val unread = (1..6).map { request("/complete?6000000") }
        await { held.figures.bytes > MAX_BYTES / 2 }
        val startNanos = System.nanoTime()
        repeat(3) {
            request("/complete?6000000").use { expectThat(it.readAll()).isGreaterThan(6_000_000) }
            expectThat(held.figures.bytes).isLessThan(MAX_BYTES + 1)
        }
        expectThat((System.nanoTime() - startNanos) / 1_000_000).isLessThan(10_000)
        unread.forEach { it.close() }
        await { held.figures.bytes == 0L }
    }

    /** Guards against a response that is cut at the caller's deadline although it is ready. */
    @Test
    fun `what was written is delivered to a slow client although the handler was cancelled`() {
        request("/cancelled?2000000").use { socket ->
            expectThat(socket.readAll(pauseMillis = 10)).isGreaterThan(2_000_000)
        }
    }

    private companion object {
        const val MAX_BYTES = 16_000_000L
        const val FULL_STALL_MILLIS = 1_000L
        const val PART_BYTES = 100_000
        const val READ_TIMEOUT_MILLIS = 5_000
        const val AWAIT_NANOS = 10_000_000_000L
    }
}
