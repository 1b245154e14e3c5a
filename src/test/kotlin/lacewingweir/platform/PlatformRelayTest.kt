package lacewingweir.platform

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import lacewingweir.platform.RelayFixture.Companion.responseHeaders
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isNotEmpty
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import strikt.assertions.isTrue
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.time.measureTime

internal class PlatformRelayTest {
    private val relay = RelayFixture().also { it.configure("k1") }

    @AfterEach
    fun close() = relay.close()

    private val respondOk: suspend (lacewingweir.transport.http.ServerExchange) -> Unit = {
        it.respond(200, responseHeaders, "answer".encodeToByteArray())
    }

    @Test
    fun `a request is forwarded unchanged except that the customer replaces the key`(): Unit =
        runBlocking {
            val bodies = CopyOnWriteArrayList<String>()
            val endpoint =
                relay.endpoint("i-1") {
                    bodies += it.body.decodeToString()
                    respondOk(it)
                }
            val response =
                relay.call(
                    "idempotent",
                    headers =
                        listOf(
                            "Tenant" to "forged",
                            "Hold" to "1",
                            "X-Other" to "kept",
                        ),
                )
            expectThat(response) {
                get { status }.isEqualTo(200)
                get { body }.isEqualTo("answer")
            }
            val received = endpoint.receivedRequests.single()
            expectThat(received.target).isEqualTo("/idempotent/x?y=%20z")
            expectThat(bodies.single()).isEqualTo("body")
            expectThat(received.headers) {
                get { getAll("Tenant") }.isEqualTo(listOf("acme"))
                get { get("X-Api-Key") }.isNull()
                get { get("Hold") }.isNull()
                get { get("X-Other") }.isEqualTo("kept")
                get { get("Host") }.isEqualTo("h.example")
                get { get("Expect-Instance") }.isEqualTo("i-1")
                get { get("Deadline-Ms").toLong() }.isLessThan(2_001)
            }
        }

    @Test
    fun `a call that an endpoint did not run is sent to another endpoint`(): Unit =
        runBlocking {
            val full = relay.endpoint("i-1") { it.respond(503, responseHeaders + ("Not-Executed" to "1")) }
            val free = relay.endpoint("i-2", handler = respondOk)
            repeat(4) { expectThat(relay.call("non_idempotent").status).isEqualTo(200) }
            expectThat(free.receivedRequests).hasSize(4)
            expectThat(full.receivedRequests.size).isLessThan(5)
        }

    /** It may be the response to another call, so the booking may have been made. */
    @Test
    fun `a non-idempotent call isn't sent again after a refusal that names no request`(): Unit =
        runBlocking {
            val endpoint1 = relay.endpoint("i-1") { it.respond(503, listOf("Not-Executed" to "1")) }
            val endpoint2 = relay.endpoint("i-2") { it.respond(503, listOf("Not-Executed" to "1")) }
            expectThat(relay.call("non_idempotent").status).isEqualTo(502)
            expectThat(endpoint1.receivedRequests.size + endpoint2.receivedRequests.size).isEqualTo(1)
        }

    /** A booking whose response was lost may have been made. A second attempt could make it twice. */
    @Test
    fun `a non-idempotent call is sent only once and fails with 502 if it may have run`(): Unit =
        runBlocking {
            val endpoint1 = relay.endpoint("i-1") { it.abort() }
            val endpoint2 = relay.endpoint("i-2") { it.abort() }
            val response = relay.call("non_idempotent")
            expectThat(response.status).isEqualTo(502)
            expectThat(endpoint1.receivedRequests.size + endpoint2.receivedRequests.size).isEqualTo(1)
        }

    /** To callers a 503 means that the call did not run, which this endpoint has not confirmed. */
    @Test
    fun `a 503 without confirmation that the call did not run is not forwarded`(): Unit =
        runBlocking {
            relay.endpoint("i-1") { it.respond(503, responseHeaders) }
            expectThat(relay.call("non_idempotent").status).isEqualTo(502)
        }

    @Test
    fun `a repeatable call goes to another endpoint after a failure`(): Unit =
        runBlocking {
            relay.endpoint("i-1") { it.abort() }
            val endpoint2 = relay.endpoint("i-2", handler = respondOk)
            repeat(3) { expectThat(relay.call("idempotent").status).isEqualTo(200) }
            expectThat(endpoint2.receivedRequests).hasSize(3)
        }

    /** Several endpoints have failed, and rejections by other endpoints have used up the repeat budget. */
    @Test
    fun `an attempt that reached no endpoint is not charged to the repeat budget`(): Unit =
        runBlocking {
            RelayFixture(repeatExtra = 0.0).use { relayWithoutRepeats ->
                relayWithoutRepeats.configure("k1")
                relayWithoutRepeats.endpoint("i-1", handler = respondOk).server.close()
                relayWithoutRepeats.endpoint("i-2", handler = respondOk)
                repeat(4) { expectThat(relayWithoutRepeats.call("non_idempotent").status).isEqualTo(200) }
            }
        }

    /** All endpoints are slow and the repeat budget is used up, so abandoning a slow attempt would lose the request. */
    @Test
    fun `a slow endpoint is awaited if the repeat budget is used up`(): Unit =
        runBlocking {
            RelayFixture(repeatExtra = 0.0).use { relayWithoutRepeats ->
                relayWithoutRepeats.configure("k1")
                val respondLate: suspend (lacewingweir.transport.http.ServerExchange) -> Unit = {
                    delay(1_200)
                    respondOk(it)
                }
                relayWithoutRepeats.endpoint("i-1", handler = respondLate)
                relayWithoutRepeats.endpoint("i-2", handler = respondLate)
                expectThat(relayWithoutRepeats.call("idempotent").status).isEqualTo(200)
            }
        }

    @Test
    fun `an error response is forwarded unchanged if every endpoint returns it`(): Unit =
        runBlocking {
            relay.endpoint("i-1") { it.respond(500, responseHeaders, "why".encodeToByteArray()) }
            relay.endpoint("i-2") { it.respond(500, responseHeaders, "why".encodeToByteArray()) }
            expectThat(relay.call("idempotent")) {
                get { status }.isEqualTo(500)
                get { body }.isEqualTo("why")
            }
        }

    @Test
    fun `a successful response that does not name the request is not forwarded`(): Unit =
        runBlocking {
            relay.endpoint("i-1") { it.respond(200, listOf("Server-Stamp" to "s"), "foreign".encodeToByteArray()) }
            expectThat(relay.call("non_idempotent").status).isEqualTo(502)
        }

    @Test
    fun `a withdrawn key and an unknown route are refused immediately`(): Unit =
        runBlocking {
            val endpoint = relay.endpoint("i-1", handler = respondOk)
            expectThat(relay.call("idempotent").status).isEqualTo(200)
            relay.configure("k2")
            expectThat(relay.call("idempotent", key = "k1").status).isEqualTo(401)
            expectThat(relay.call("idempotent", key = "k2").status).isEqualTo(200)
            expectThat(relay.call("nothing", key = "k2").status).isEqualTo(404)
            expectThat(endpoint.receivedRequests).hasSize(2)
        }

    @Test
    fun `a call with a key is refused with Retry-After if the key records may be outdated`(): Unit =
        runBlocking {
            val endpoint = relay.endpoint("i-1", handler = respondOk)
            relay.limits = relay.limits.copy(maxKeyProofAgeMillis = 0)
            delay(5)
            expectThat(relay.call("idempotent")) {
                get { status }.isEqualTo(503)
                get { retryAfter }.isNotNull()
            }
            expectThat(endpoint.receivedRequests).isEmpty()
        }

    @Test
    fun `a call is refused before its deadline if there are no endpoints`(): Unit =
        runBlocking {
            val duration = measureTime { expectThat(relay.call("idempotent").status).isEqualTo(503) }
            expectThat(duration.inWholeMilliseconds).isLessThan(1_000)
        }

    /** Guards against bookings that are made for callers that left while their calls waited for an endpoint. */
    @Test
    fun `a non-idempotent call is not sent after its caller has disconnected`(): Unit =
        runBlocking {
            relay.limits = relay.limits.copy(placementWaitMillis = 1_500)
            val endpoint = relay.endpoint("i-1", handler = respondOk)
            relay.register(endpoint, "plain", state = "draining")
            val call = launch { relay.call("non_idempotent", callerTimeoutMillis = 10_000) }
            delay(200)
            call.cancelAndJoin()
            delay(100)
            relay.register(endpoint, "plain")
            delay(300)
            expectThat(endpoint.receivedRequests).isEmpty()
        }

    /**
     * Guards against calls that are sent on after their callers have left, because the instance got no processor time
     * while they arrived, as after all instances lost power at once.
     */
    @Test
    fun `calls whose callers left before they were read are not sent`(): Unit =
        runBlocking {
            var busyMillis = 0L
            val endpoint =
                relay.endpoint("i-1") {
                    Thread.sleep(busyMillis)
                    respondOk(it)
                }
            repeat(3) { relay.call("idempotent") }
            delay(1_500)
            busyMillis = 800
            val slow = launch(Dispatchers.IO) { relay.call("idempotent") }
            delay(200)
            val left = List(20) { launch(Dispatchers.IO) { relay.callAndLeave("idempotent", closeAfterMillis = 200) } }
            left.joinAll()
            busyMillis = 0
            slow.join()
            delay(500)
            expectThat(endpoint.receivedRequests).hasSize(4)
        }

    @Test
    fun `a call ends at its deadline`(): Unit =
        runBlocking {
            relay.endpoint("i-1") { delay(5_000) }
            val duration =
                measureTime {
                    expectThat(
                        relay.call("non_idempotent", callerTimeoutMillis = 300).status,
                    ).isEqualTo(504)
                }
            expectThat(duration.inWholeMilliseconds).isLessThan(700)
        }

    /** Guards against calls that begin at their engine after their callers have left. */
    @Test
    fun `the connection to an engine is closed at the deadline of its call`(): Unit =
        runBlocking {
            val closed = CompletableDeferred<Unit>()
            relay.endpoint("i-1", "engine") {
                it.onDisconnect { closed.complete(Unit) }
                delay(5_000)
            }
            val duration =
                measureTime {
                    expectThat(relay.call("stream", headers = prompt, callerTimeoutMillis = 300).status).isEqualTo(504)
                    closed.await()
                }
            expectThat(duration.inWholeMilliseconds).isLessThan(700)
        }

    /** Guards against responses without end that use up the memory of the instance. */
    @Test
    fun `a response without end is given up and another endpoint answers`(): Unit =
        runBlocking {
            val endlessEndpoint =
                relay.endpoint("i-1") {
                    it.startStream(200, responseHeaders)
                    while (true) it.write(ByteArray(64 * 1024))
                }
            val endpoint = relay.endpoint("i-2", handler = respondOk)
            var calls = 0
            // The relay chooses at random between endpoints with the same load.
            while (endlessEndpoint.receivedRequests.isEmpty() && calls < 100) {
                expectThat(relay.call("idempotent").status).isEqualTo(200)
                calls++
            }
            expectThat(endlessEndpoint.receivedRequests).isNotEmpty()
            expectThat(endpoint.receivedRequests).hasSize(calls)
        }

    private val prompt = listOf("Model" to "m", "Token-Counts" to "300,20", "Prompt-Prefix" to "a1:100,b2:200")
    private val eventStream = responseHeaders + ("Content-Type" to "text/event-stream")

    private fun event(id: Int) = "id: $id\ndata: piece$id\n\n".encodeToByteArray()

    /** The caller must receive one complete stream in order, whichever engines produced its parts. */
    @Test
    fun `a resumable stream continues at another engine after the last complete event`(): Unit =
        runBlocking {
            val handler: suspend (lacewingweir.transport.http.ServerExchange) -> Unit = { exchange ->
                exchange.startStream(200, eventStream)
                when (exchange.headers.get("Last-Event-Id")) {
                    null -> {
                        exchange.write(event(1) + event(2) + "id: 3\nda".encodeToByteArray())
                        delay(50)
                        exchange.abort()
                    }
                    "2" -> {
                        exchange.write(event(3) + event(4))
                        exchange.finish()
                    }
                    else -> exchange.abort()
                }
            }
            val engines = listOf("i-1", "i-2").map { relay.endpoint(it, "engine", handler = handler) }
            val response = relay.call("stream", headers = prompt)
            expectThat(response.complete).isTrue()
            expectThat(response.body).isEqualTo((1..4).joinToString("") { event(it).decodeToString() })
            expectThat(engines.sumOf { it.receivedRequests.size }).isEqualTo(2)
        }

    @Test
    fun `a stream that no engine completes is aborted`(): Unit =
        runBlocking {
            relay.endpoint("i-1", "engine") { exchange ->
                exchange.startStream(200, eventStream)
                exchange.write(event(1))
                delay(20)
                exchange.abort()
            }
            expectThat(relay.call("stream", headers = prompt).complete).isFalse()
        }

    /** Guards against calls that wait for an endpoint whose limit is used up, although it can't be sent in time. */
    @Test
    fun `a call is refused at once with Retry-After if the limits of all endpoints are used up`(): Unit =
        runBlocking {
            val endpoint =
                relay.endpoint("i-1") {
                    it.respond(200, responseHeaders + ("Server-Limit" to "0.5"), "answer".encodeToByteArray())
                }
            expectThat(relay.call("idempotent").status).isEqualTo(200)
            val duration =
                measureTime {
                    expectThat(relay.call("idempotent")) {
                        get { status }.isEqualTo(503)
                        get { retryAfter?.toDouble() }.isNotNull().isGreaterThan(1.5)
                    }
                }
            expectThat(duration.inWholeMilliseconds).isLessThan(100)
            expectThat(endpoint.receivedRequests).hasSize(1)
        }

    /** Guards against a call that ends one engine after the other. */
    @Test
    fun `a call whose engine ended as it began to answer is not sent again`(): Unit =
        runBlocking {
            val engines =
                listOf("i-1", "i-2").map { id ->
                    lateinit var engine: RelayFixture.Endpoint
                    engine =
                        relay.endpoint(id, "engine") { exchange ->
                            exchange.startStream(200, eventStream)
                            engine.server.close()
                        }
                    engine
                }
            expectThat(relay.call("stream", headers = prompt).status).isEqualTo(502)
            expectThat(engines.sumOf { it.receivedRequests.size }).isEqualTo(1)
        }

    @Test
    fun `a malformed limit of requests is ignored`(): Unit =
        runBlocking {
            relay.endpoint("i-1") {
                it.respond(200, responseHeaders + ("Server-Limit" to "few"), "answer".encodeToByteArray())
            }
            repeat(3) { expectThat(relay.call("idempotent").status).isEqualTo(200) }
        }

    @Test
    fun `the cache salt contains the isolated customer and the weights`(): Unit =
        runBlocking {
            val engine =
                relay.endpoint("i-1", "engine") { exchange ->
                    exchange.startStream(200, eventStream)
                    exchange.write(event(1))
                    exchange.finish()
                }
            relay.call("stream", headers = prompt + ("Cache-Salt" to "forged"))
            val headers = engine.receivedRequests.single().headers
            expectThat(headers.getAll("Cache-Salt")).hasSize(1)
            expectThat(headers.get("Cache-Salt")).contains("acme").contains("1")
            expectThat(headers.get("Expect-Version")).isEqualTo("1")
        }
}
