package lacewingweir.platform

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.runBlocking
import lacewingweir.state.fleet.EndpointEntry
import lacewingweir.state.id.EndpointId
import lacewingweir.state.id.FailureDomain
import lacewingweir.state.id.ServiceName
import lacewingweir.transport.http.ClientRequest
import lacewingweir.transport.http.ClientResult
import lacewingweir.transport.http.HttpClient
import lacewingweir.transport.http.readAll
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Tag
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import java.io.BufferedReader
import java.io.IOException
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

/**
 * Guards against a second copy of an answer that comes late, on a connection that is in use again, and is taken for the
 * answer to the next request.
 */
internal class DuplicateAnswerTest {
    private val relay = RelayFixture(repeatExtra = 100_000.0).also { it.configure("k1") }
    private val duplicates = AtomicInteger()
    private val servers = List(SERVERS) { ServerSocket(0) }

    @AfterEach
    fun close() {
        servers.forEach { it.close() }
        relay.close()
    }

    private fun response(
        id: String?,
        body: String,
        status: String = "200 OK",
        headers: String = "Server-Stamp: s\r\n",
    ): String {
        val idHeader = id?.let { "Attempt-Id: $it\r\n" }.orEmpty()
        return "HTTP/1.1 $status\r\n$idHeader${headers}Content-Length: ${body.length}\r\n\r\n$body"
    }

    private fun register() = servers.forEachIndexed { i, server -> relay.registerPlain("i-$i", server.localPort) }

    /** Serves all connections. Before the response to a request, it sends that to the previous one once more. */
    private fun startServers(
        answer: (id: String?) -> String = { id -> response(id, answerTo(id.orEmpty())) },
        duplicateOf: (id: String?, answer: String) -> String? = { _, answer -> answer },
    ) = servers.forEach { thread(isDaemon = true) { accept(it, answer, duplicateOf) } }

    private fun accept(
        server: ServerSocket,
        answer: (id: String?) -> String,
        duplicateOf: (id: String?, answer: String) -> String?,
    ) {
        try {
            while (true) {
                val socket = server.accept()
                thread(isDaemon = true) { serve(socket, answer, duplicateOf) }
            }
        } catch (_: IOException) {
            // The test has ended.
        }
    }

    private fun serve(
        socket: Socket,
        answer: (id: String?) -> String,
        duplicateOf: (id: String?, answer: String) -> String?,
    ) = try {
        socket.tcpNoDelay = true
        val input = socket.getInputStream().bufferedReader()
        val out = socket.getOutputStream()
        var previous: String? = null
        while (true) {
            val id = readRequest(input) ?: break
            previous?.let {
                out.write(it.encodeToByteArray())
                duplicates.incrementAndGet()
            }
            val response = answer(id.ifEmpty { null })
            out.write(response.encodeToByteArray())
            out.flush()
            previous = duplicateOf(id.ifEmpty { null }, response)
        }
    } catch (_: IOException) {
        // The instance has closed the connection.
    }

    private fun answerTo(id: String) = "answer to $id"

    /** Returns the id of the next request, empty if it has none, or null at the end of the connection. */
    private fun readRequest(input: BufferedReader): String? {
        var id = ""
        var length = 0
        var line = input.readLine() ?: return null
        while (line.isNotEmpty()) {
            val (name, value) = line.split(": ", limit = 2) + ""
            if (name.equals("Attempt-Id", ignoreCase = true)) id = value
            if (name.equals("Content-Length", ignoreCase = true)) length = value.toInt()
            line = input.readLine() ?: return null
        }
        repeat(length) { input.read() }
        return id
    }

    /** Sends calls over several connections. Returns the answers that belong to other calls, and the number of all. */
    private fun sendCalls(): Pair<List<String>, Int> =
        runBlocking {
            register()
            // The fixture proves contact with the store only once.
            relay.limits = relay.limits.copy(maxKeyProofAgeMillis = Long.MAX_VALUE)
            val foreign = CopyOnWriteArrayList<String>()
            val answered = AtomicInteger()
            val failures = ConcurrentHashMap<Int, AtomicInteger>()
            (0 until CALLERS)
                .map { caller ->
                    async {
                        repeat(CALLS / CALLERS) {
                            val id = "%016x".format(caller * 1_000_000L + it)
                            val response = relay.call("idempotent", id = id)
                            if (response.status == 200) answered.incrementAndGet()
                            if (response.status != 200) {
                                failures.computeIfAbsent(response.status) { AtomicInteger() }.incrementAndGet()
                            }
                            if (response.status == 200 && response.body != answerTo(id)) foreign += response.body
                            if (response.status == FOREIGN_STATUS) foreign += "status $FOREIGN_STATUS"
                        }
                    }
                }.awaitAll()
            println("duplicates=$duplicates answered=$answered failures=$failures")
            foreign to answered.get()
        }

    @Test
    fun `no caller gets the late copy of an answer to another`() {
        startServers()
        val (foreign, answered) = sendCalls()
        expectThat(duplicates.get()).isGreaterThan(CALLS / 2)
        expectThat(foreign).isEmpty()
        expectThat(answered).isEqualTo(CALLS)
    }

    @Test
    fun `no caller gets a late answer that names no request`() {
        startServers { id, _ -> response(id = null, body = answerTo(id.orEmpty())) }
        val (foreign, answered) = sendCalls()
        expectThat(duplicates.get()).isGreaterThan(0)
        expectThat(foreign).isEmpty()
        expectThat(answered).isEqualTo(CALLS)
    }

    /** Guards against callers that get the 404 of a control request, whose responses carry no id. */
    @Test
    @Tag("known-red")
    fun `no caller gets a late error that names no request`() {
        startServers { _, _ -> response(id = null, body = "", status = "$FOREIGN_STATUS Not Found", headers = "") }
        val (foreign, answered) = sendCalls()
        expectThat(duplicates.get()).isGreaterThan(0)
        expectThat(foreign).isEmpty()
        expectThat(answered).isEqualTo(CALLS)
    }

    /** Guards against bookings that are answered 503 though they run, or run twice. */
    @Test
    fun `the late copy of a refusal is not taken for the answer to the next send of the same call`(): Unit =
        runBlocking {
            val sends = ConcurrentHashMap<String, AtomicInteger>()
            startServers({ id ->
                // Each call is refused at its first arrival, and runs at each later one.
                if (sends.computeIfAbsent(id.orEmpty()) { AtomicInteger() }.incrementAndGet() == 1) {
                    response(id, "", status = "503 Service Unavailable", headers = "Not-Executed: 1\r\n")
                } else {
                    response(id, answerTo(id.orEmpty()))
                }
            })
            register()
            repeat(BOOKINGS) {
                val id = "%016x".format(it + 1)
                expectThat(relay.call("non_idempotent", id = id).status).isEqualTo(200)
            }
            expectThat(duplicates.get()).isGreaterThan(BOOKINGS / 2)
            expectThat(sends.values.map { it.get() }.toSet()).isEqualTo(setOf(2))
        }

    /** Guards against orders on the strength of a status that an engine sent earlier, to another control request. */
    @Test
    fun `the late copy of an answer is not taken for the status of an engine`(): Unit =
        runBlocking {
            val commands = AtomicInteger()
            startServers(
                { id -> response(id, """{"sequence":${commands.incrementAndGet()},"busy":false,"models":[]}""") },
            )
            val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
            val http = HttpClient(group)
            val control =
                PlatformWeightsControl(PlatformEngineClient(http, isPaused = { false }, onStatement = { _, _ -> }))
            val call =
                ClientRequest("127.0.0.1", servers[0].localPort, "GET", "/x", headers = listOf("Attempt-Id" to CALL_ID))
            repeat(5) {
                (http.open(call) as ClientResult.Answered).response.readAll(1_000)
                repeat(2) {
                    expectThat(control.status(engine())?.commandCount).isEqualTo(commands.get().toLong())
                }
            }
            http.close()
            group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS)
        }

    private fun engine() =
        EndpointEntry(
            id = EndpointId("i-1"),
            service = ServiceName("engine"),
            host = "127.0.0.1",
            port = servers[0].localPort,
            domain = FailureDomain("z1"),
            slots = 1,
            leaving = false,
            startedAtUnixMillis = 0,
            weights = emptyMap(),
        )

    private companion object {
        /** A call is repeated at another server. */
        const val SERVERS = 2
        const val CALLS = 10_000
        const val CALLERS = 8
        const val CALL_ID = "00000000000000aa"
        const val BOOKINGS = 50
        const val FOREIGN_STATUS = 404
    }
}
