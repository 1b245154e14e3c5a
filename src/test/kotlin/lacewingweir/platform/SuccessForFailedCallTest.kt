package lacewingweir.platform

import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger

/**
 * Guards against successes for calls whose server answered with a failure, because the failure was skipped as a
 * response to another request, or because an extra success came on another connection than its request.
 */
@Timeout(20)
internal class SuccessForFailedCallTest {
    private val extras = AtomicInteger()
    private val servers = ArrayList<RawServer>()

    /** Every third call fails wherever it runs. */
    private fun isFailing(id: String) = id.toLong(radix = 16) % 3 == 0L

    private fun answerTo(id: String) = "answer to $id"

    private fun streamOf(id: String) = (1..3).joinToString("") { "id: $it\ndata: $id-$it\n\n" }

    @AfterEach
    fun close() = servers.forEach { it.close() }

    private fun response(
        body: String,
        status: String = "200 OK",
        headers: String = "",
    ) = "HTTP/1.1 $status\r\n${headers}Server-Stamp: s\r\nContent-Length: ${body.length}\r\n\r\n$body"

    private fun named(id: String) = "Attempt-Id: $id\r\n"

    private fun success(
        id: String,
        body: String = answerTo(id),
    ) = response(body, headers = named(id))

    private fun events(
        id: String,
        body: String,
    ) = response(body, headers = "${named(id)}Content-Type: text/event-stream\r\n")

    private fun refusal(id: String) = response("", "503 Service Unavailable", "${named(id)}Not-Executed: 1\r\n")

    private fun startServers(
        count: Int,
        server: () -> RawServer,
    ): List<RawServer> = List(count) { server().also(servers::add) }

    /** A server whose failures have the id headers [failureId], and are followed by an extra success with the id. */
    private fun misnamingServer(
        failureId: (id: String) -> String,
        status: String = "500 Internal Server Error",
        extra: (id: String) -> String = { success(it, EXTRA) },
        answer: (id: String) -> String = ::success,
    ) = RawServer { request ->
        if (isFailing(request.id)) {
            write(response("own failure", status, failureId(request.id)))
            extras.incrementAndGet()
            write(extra(request.id))
        } else {
            write(answer(request.id))
        }
    }

    private fun playMisnamed(
        kind: String,
        count: Int,
        server: () -> RawServer,
        served: (id: String) -> String = ::answerTo,
        leastServedShare: Double = 1.0,
    ) = CallerPlay(kind, startServers(count, server), leastServedShare = leastServedShare).use { play ->
        play.run(::isFailing, served)
        expectThat(extras.get()).isGreaterThan(0)
    }

    @Test
    fun `no booking takes a success behind a failure that names no request`() {
        playMisnamed("non_idempotent", 3, { misnamingServer({ "" }) })
    }

    @Test
    fun `no look-up takes a success behind a failure that names no request`() {
        playMisnamed("idempotent", 2, { misnamingServer({ "" }, status = "504 Gateway Timeout") })
    }

    @Test
    fun `no stream takes a success behind a failure that names no request`() {
        val server = { misnamingServer({ "" }, extra = { events(it, "id: 1\ndata: $EXTRA\n\n") }, answer = ::stream) }
        playMisnamed("stream", 2, server, ::streamOf)
    }

    private fun stream(id: String) = events(id, streamOf(id))

    @Test
    fun `no call takes a success behind a refusal that names no request`() {
        val server = { misnamingServer({ "Not-Executed: 1\r\n" }, status = "503 Service Unavailable") }
        playMisnamed("non_idempotent", 2, server)
    }

    @Test
    fun `no call takes a success behind a failure that names an unknown request`() {
        playMisnamed("non_idempotent", 1, { misnamingServer({ named("ffffffffffffffff") }) })
    }

    /** An extra response to a request can't come before the answer to it. */
    @Test
    fun `no call takes a success behind a failure that names a request in progress`() {
        val inProgress = ConcurrentLinkedQueue<String>()
        val server = {
            RawServer { request ->
                if (isFailing(request.id)) {
                    synchronized(inProgress) {
                        val other = inProgress.peek()?.let(::named).orEmpty()
                        write(response("own failure", "504 Gateway Timeout", other))
                        extras.incrementAndGet()
                        write(success(request.id, EXTRA))
                    }
                } else {
                    inProgress += request.id
                    Thread.sleep(5)
                    synchronized(inProgress) { inProgress -= request.id }
                    // The relay reads what was written under the lock before the answer.
                    Thread.sleep(LATE_MILLIS)
                    write(success(request.id))
                }
            }
        }
        playMisnamed("non_idempotent", 1, server)
    }

    @Test
    fun `no call takes a success behind a failure that names two requests`() {
        playMisnamed("non_idempotent", 1, { misnamingServer({ named("ffffffffffffffff") + named(it) }) })
    }

    @Test
    fun `no call takes a success behind a failure with another spelling of its id`() {
        playMisnamed("idempotent", 1, { misnamingServer({ named(it.uppercase() + "-") }) })
    }

    /** Without the success behind it, the call waited for its deadline. */
    @Test
    fun `no call waits for an answer behind a failure that names no request`() {
        val server = {
            RawServer { request ->
                extras.incrementAndGet()
                write(if (isFailing(request.id)) response("", "500 Internal Server Error") else success(request.id))
            }
        }
        CallerPlay("non_idempotent", startServers(3, server), calls = 120).use { play ->
            play.run(::isFailing, ::answerTo)
            expectThat(play.longestMillis).isLessThan(DEADLINE_MILLIS / 2)
        }
    }

    /**
     * A server that keeps an extra success for each call that it [fails][failure], and sends it late, on the connection
     * on which it answers next.
     */
    private fun crossingServer(
        extra: (id: String) -> String = { success(it, EXTRA) },
        failure: (id: String) -> String = { response("", "500 Internal Server Error", named(it)) },
        answer: (id: String) -> String = ::success,
    ): RawServer {
        val pending = ConcurrentLinkedQueue<Pair<Long, String>>()
        return RawServer { request ->
            val due = pending.poll()
            if (due != null && System.nanoTime() < due.first) pending += due
            if (due != null && System.nanoTime() >= due.first) {
                extras.incrementAndGet()
                write(due.second)
            }
            write(if (isFailing(request.id)) failure(request.id) else answer(request.id))
            val dueNanos = System.nanoTime() + LATE_MILLIS * NANOS_PER_MILLI
            if (isFailing(request.id)) pending += dueNanos to extra(request.id)
        }
    }

    @Test
    fun `no refused booking takes a success from another connection`() {
        for (count in 1..3) playMisnamed("non_idempotent", count, { crossingServer(failure = ::refusal) })
    }

    @Test
    fun `no failed look-up takes a success from another connection`() {
        for (count in 1..3) playMisnamed("idempotent", count, { crossingServer() })
    }

    @Test
    fun `no failed stream takes a success from another connection`() {
        val server = { crossingServer({ events(it, "id: 1\ndata: $EXTRA\n\n") }, answer = ::stream) }
        for (count in 1..2) playMisnamed("stream", count, server, ::streamOf)
    }

    @Test
    fun `no refused stream takes a success from another connection`() {
        val server = { crossingServer({ events(it, "id: 1\ndata: $EXTRA\n\n") }, ::refusal, ::stream) }
        // An engine that refuses a stream gets no others for a moment.
        for (count in 1..2) playMisnamed("stream", count, server, ::streamOf, leastServedShare = 0.1)
    }

    /** A server that sends an extra failure without an id on each new connection. */
    @Test
    fun `no call gets the failure of another on a new connection`() {
        val foreign = AtomicInteger()
        val server =
            RawServer { request ->
                if (request.number == 1) write(response(EXTRA, "404 Not Found"))
                write(success(request.id))
            }.also(servers::add)
        RelayFixture(repeatExtra = 100_000.0).use { relay ->
            relay.configure("k1")
            relay.registerPlain("i-0", server.port)
            runBlocking {
                repeat(CALLS_ON_NEW_CONNECTIONS) {
                    val answer = relay.call("non_idempotent", id = "%016x".format(it + 1))
                    if (answer.body == EXTRA) foreign.incrementAndGet()
                }
            }
        }
        expectThat(foreign.get()).isEqualTo(0)
    }

    /** A server that begins a success, breaks off at each byte of its head in turn, and answers with a failure. */
    @Test
    fun `no call gets the status of a head that broke off before its failure`() {
        val begun =
            "HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nKeep-Alive: timeout=5\r\nAttempt-Id: ffffffffffffffff\r\n\r\n"
        val cuts = AtomicInteger()
        val server =
            RawServer { request ->
                val cut = cuts.incrementAndGet()
                val rest = response("own failure", "500 Internal Server Error", named(request.id))
                write(begun.take(cut) + rest)
            }.also(servers::add)
        RelayFixture(repeatExtra = 100_000.0).use { relay ->
            relay.configure("k1")
            relay.limits = relay.limits.copy(maxKeyProofAgeMillis = Long.MAX_VALUE)
            relay.registerPlain("i-0", server.port)
            val statuses =
                runBlocking {
                    (1..begun.length).map {
                        relay.call("non_idempotent", callerTimeoutMillis = 300, id = "%016x".format(it)).status
                    }
                }
            expectThat(cuts.get()).isGreaterThan(0)
            expectThat(statuses.count { it in 200..299 }).isEqualTo(0)
        }
    }

    private companion object {
        const val CALLS_ON_NEW_CONNECTIONS = 20
        const val EXTRA = "extra"
        const val DEADLINE_MILLIS = 2_000L
        const val LATE_MILLIS = 20L
        const val NANOS_PER_MILLI = 1_000_000L
    }
}
