package lacewingweir.platform

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger

/**
 * Guards against successes that a server sends beside its answers and that pass for the answer to another send of the
 * same call. The servers fail every third call each time, and serve the others.
 */
@Timeout(20)
internal class ExtraResponseTest {
    private var relay = newRelay()
    private val extras = AtomicInteger()
    private val servers = ArrayList<RawServer>()
    private var sends = RawServer.Sends()

    @AfterEach
    fun close() {
        servers.forEach { it.close() }
        relay.close()
    }

    private fun newRelay() = RelayFixture(repeatExtra = 100_000.0).also { it.configure("k1") }

    private fun isFailing(id: String) = id.toLong(radix = 16) % 3 == 0L

    private fun answerTo(id: String) = "answer to $id"

    private fun response(
        id: String?,
        body: String,
        status: String = "200 OK",
        headers: String = STAMP,
    ): String {
        val idHeader = id?.let { "Attempt-Id: $it\r\n" }.orEmpty()
        return "HTTP/1.1 $status\r\n$idHeader${headers}Content-Length: ${body.length}\r\n\r\n$body"
    }

    private fun events(
        id: String,
        body: String,
    ) = "HTTP/1.1 200 OK\r\nAttempt-Id: $id\r\n${STAMP}Content-Type: text/event-stream\r\n" +
        "Transfer-Encoding: chunked\r\n\r\n${body.length.toString(16)}\r\n$body\r\n0\r\n\r\n"

    private fun error(id: String) = response(id, "own failure", "500 Internal Server Error")

    private fun refusal(id: String) = response(id, "", "503 Service Unavailable", "Not-Executed: 1\r\n")

    private fun plainExtra(id: String?) = response(id, EXTRA)

    private fun RawServer.Connection.writeExtra(text: String) {
        extras.incrementAndGet()
        write(text)
    }

    private fun RawServer.Connection.answer(
        request: RawServer.Request,
        failure: (String) -> String,
    ) = write(if (isFailing(request.id)) failure(request.id) else response(request.id, answerTo(request.id)))

    /**
     * Sends calls of a [kind] to each number of [servers], some at the same time. Expects that no caller gets a success
     * that isn't its own, that calls are [repeated][repeats] if there is another server, and that no server receives a
     * call twice unless it has [continued][continues] its stream.
     */
    private fun play(
        kind: String,
        servers: IntRange = 1..2,
        calls: Int = 400,
        callers: Int = 8,
        body: String = "body",
        served: (String) -> String = ::answerTo,
        repeats: Boolean = true,
        continues: Boolean = false,
        server: () -> RawServer,
    ) = servers.forEach { count ->
        relay.close()
        relay = newRelay()
        sends = RawServer.Sends()
        val started = List(count) { server() }
        this.servers += started
        started.forEachIndexed { i, raw ->
            if (kind == "stream") relay.registerEngine("i-$i", raw.port) else relay.registerPlain("i-$i", raw.port)
        }
        // The fixture proves contact with the store only once.
        relay.limits = relay.limits.copy(maxKeyProofAgeMillis = Long.MAX_VALUE)
        val wrong = CopyOnWriteArrayList<String>()
        val statuses = ConcurrentHashMap<String, Int>()
        val successes = AtomicInteger()
        val failures = AtomicInteger()
        runBlocking {
            (1..callers)
                .map { caller ->
                    async {
                        repeat(calls / callers) {
                            val id = "%016x".format(caller * 1_000_000L + it)
                            val prompt =
                                listOf("Model" to "m", "Token-Counts" to "300,20", "Prompt-Prefix" to "$id:300")
                            val answer =
                                relay.call(
                                    kind,
                                    headers = if (kind == "stream") prompt else emptyList(),
                                    id = id,
                                    body = body,
                                )
                            statuses.merge("${answer.status} ${answer.complete}", 1, Int::plus)
                            val success = answer.status in 200..299 && answer.complete
                            (if (success) successes else failures).incrementAndGet()
                            val own = success && !isFailing(id) && answer.body == served(id)
                            if ((success && !own) || EXTRA in answer.body) wrong += "$id ${answer.body}"
                        }
                    }
                }.awaitAll()
        }
        println(
            "extra responses: $kind wrong=${wrong.size} served=$successes failed=$failures extras=$extras " +
                "servers=$count repeated=${sends.repeated} $statuses",
        )
        expectThat(extras.get()).isGreaterThan(0)
        expectThat(wrong).isEmpty()
        expectThat(successes.get()).isGreaterThan(0)
        if (repeats && count > 1) expectThat(sends.repeated).isGreaterThan(0)
        if (!continues) expectThat(started.sumOf { it.repeated }).isEqualTo(0)
    }

    /** A server that sends an extra success for the request before, and then its answer. */
    private fun extraFirst(
        extra: (String) -> String = ::plainExtra,
        failure: (String) -> String = ::error,
    ) = RawServer(sends = sends) { request ->
        previous?.let { writeExtra(extra(it)) }
        answer(request, failure)
    }

    @Test
    fun `an extra success is not the answer to the repeat of a failed call`() {
        play("idempotent") { extraFirst() }
    }

    @Test
    fun `an extra stream in chunks is not the answer to the repeat of a failed stream`() {
        play("stream") { extraFirst({ events(it, EXTRA_EVENT) }) }
    }

    @Test
    fun `an extra stream with a length is not the answer to the repeat of a failed stream`() {
        play("stream") { extraFirst({ response(it, EXTRA_EVENT, headers = STAMP + EVENT_STREAM) }) }
    }

    @Test
    fun `an extra success is not the answer to the repeat of a refused call`() {
        play("non_idempotent") { extraFirst(failure = ::refusal) }
    }

    @Test
    fun `an extra success is not the answer to the repeat of a call whose answer broke off`() {
        val server = {
            RawServer(sends = sends) { request ->
                previous?.let { writeExtra(plainExtra(it)) }
                when {
                    !isFailing(request.id) -> write(response(request.id, answerTo(request.id)))
                    request.send > 1 -> write(error(request.id))
                    request.id.toLong(radix = 16) % 2 == 0L -> reset()
                    else -> write(response(request.id, "cut off").dropLast(3)).also { close() }
                }
            }
        }
        play("idempotent", calls = 160, server = server)
    }

    @Test
    fun `an extra success is not the answer to the repeat of a call that was given up`() {
        // A call isn't given up if there is no other server.
        val server = {
            RawServer(sends = sends) { request ->
                previous?.let { writeExtra(plainExtra(it)) }
                if (isFailing(request.id) && request.send == 1) {
                    Thread.sleep(1_500)
                    writeExtra(plainExtra(request.id))
                }
                answer(request, ::error)
            }
        }
        play("idempotent", servers = 2..2, calls = 24, server = server)
    }

    @Test
    fun `an extra stream is not joined to a stream that broke off`() {
        val whole = (1..3).joinToString("") { "id: $it\ndata: piece$it\n\n" }
        val server = {
            RawServer(sends = sends) { request ->
                previous?.let { writeExtra(events(it, "id: 2\ndata: $EXTRA\n\nid: 3\ndata: $EXTRA\n\n")) }
                val rest = whole.substringAfter("piece${request.headers["last-event-id"]}\n\n")
                // Every second stream ends inside an event the first time.
                val cut = request.id.toLong(radix = 16) % 2 == 0L && request.send == 1
                write(if (isFailing(request.id)) error(request.id) else events(request.id, if (cut) CUT else rest))
            }
        }
        play("stream", served = { whole }, continues = true, server = server)
    }

    @Test
    fun `an extra success in the segment of a failure is not the answer to the repeat`() {
        val server = {
            RawServer(sends = sends) { request ->
                if (isFailing(request.id)) {
                    writeExtra(error(request.id) + plainExtra(request.id))
                } else {
                    answer(request, ::error)
                }
            }
        }
        play("idempotent", server = server)
    }

    @Test
    fun `an extra success on an idle connection is not the answer to the repeat`() {
        val server = {
            RawServer(sends = sends) { request ->
                answer(request, ::error)
                Thread.sleep(request.number % 3L)
                writeExtra(plainExtra(request.id))
            }
        }
        play("idempotent", server = server)
    }

    @Test
    fun `an extra success while a body is sent is not the answer to the repeat`() {
        val server = {
            RawServer(
                sends = sends,
                receiveBufferBytes = 4_096,
                onHead = {
                    previous?.let { writeExtra(plainExtra(it)) }
                    Thread.sleep(2)
                },
            ) { answer(it, ::error) }
        }
        play("idempotent", calls = 80, server = server, body = "x".repeat(LARGE_BODY_BYTES))
    }

    @Test
    fun `an extra success in two segments is not the answer to the repeat`() {
        val server = {
            RawServer(sends = sends) { request ->
                previous?.let { writeExtra(plainExtra(it).drop(SPLIT)) }
                answer(request, ::error)
                write(plainExtra(request.id).take(SPLIT))
            }
        }
        // The first half may close the connection before another request is sent on it.
        play("idempotent", repeats = false, server = server)
    }

    @Test
    fun `an extra success that names no request is not the answer to a call`() {
        play("idempotent") { extraFirst({ plainExtra(null) }) }
    }

    @Test
    fun `a success that names no request is not the answer to a call on a fresh connection`() {
        val server = {
            RawServer(sends = sends) { request ->
                if (isFailing(request.id)) {
                    writeExtra(plainExtra(null))
                } else {
                    answer(request, ::error)
                }
            }
        }
        play("idempotent", calls = 24, server = server)
    }

    @Test
    fun `an answer without a length that is cut off by a reset is not complete`() {
        val server = {
            RawServer(sends = sends) { request ->
                if (isFailing(request.id)) {
                    writeExtra("HTTP/1.1 200 OK\r\nAttempt-Id: ${request.id}\r\n$STAMP\r\n$EXTRA")
                    if (request.number % 2 == 0) Thread.sleep(2)
                    reset()
                } else {
                    answer(request, ::error)
                }
            }
        }
        play("idempotent", calls = 160, repeats = false, server = server)
    }

    @Test
    fun `the late outcome of a request is not written for the next one of its caller`() {
        val server =
            RawServer { request ->
                if (isFailing(request.id)) Thread.sleep(500)
                if (isFailing(request.id)) writeExtra(plainExtra(request.id)) else answer(request, ::error)
            }
        servers += server
        relay.registerPlain("i-1", server.port)
        relay.limits = relay.limits.copy(maxKeyProofAgeMillis = Long.MAX_VALUE)
        val ids = (1..30).map { "%016x".format(it) }
        val received =
            ids
                .chunked(3)
                .parallelStream()
                .map(::pipeline)
                .toList()
                .joinToString("")
        println("extra responses: pipelined extras=$extras answers=${received.split("HTTP/1.1 ").size - 1}")
        expectThat(extras.get()).isGreaterThan(0)
        // Answers come in the order of their requests.
        val statuses = received.split("HTTP/1.1 ").drop(1)
        expectThat(statuses.size).isEqualTo(ids.size)
        for ((id, answer) in ids.zip(statuses)) {
            val own = if (isFailing(id)) !answer.startsWith("200") else answer.endsWith(answerTo(id))
            expectThat(answer).assertThat("answers $id") { own && EXTRA !in it }
        }
    }

    /** Sends the requests with [ids] at once on a connection, and returns all that is received. */
    private fun pipeline(ids: List<String>): String =
        Socket("127.0.0.1", relay.callerPort).use { socket ->
            socket.soTimeout = 8_000
            for ((i, id) in ids.withIndex()) {
                val end = if (i == ids.lastIndex) "Connection: close\r\n" else ""
                // The deadline of a failing call ends before its server answers.
                val deadline = if (isFailing(id)) 250 else 2_000
                socket.getOutputStream().write(
                    (
                        "POST /non_idempotent/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: $id\r\nX-Api-Key: k1\r\n" +
                            "Deadline-Ms: $deadline\r\n${end}Content-Length: 0\r\n\r\n"
                    ).encodeToByteArray(),
                )
            }
            socket.getInputStream().readBytes().decodeToString()
        }

    private companion object {
        const val EXTRA = "extra"
        const val STAMP = "Server-Stamp: s\r\n"
        const val EVENT_STREAM = "Content-Type: text/event-stream\r\n"
        const val EXTRA_EVENT = "id: 1\ndata: $EXTRA\n\n"
        const val CUT = "id: 1\ndata: piece1\n\nid: 2\nda"
        const val SPLIT = 30
        const val LARGE_BODY_BYTES = 600_000
    }
}
