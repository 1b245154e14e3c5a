package lacewingweir.platform

import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import lacewingweir.platform.RelayFixture.Companion.stamped
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isLessThan
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import strikt.assertions.isTrue
import kotlin.time.measureTime

internal class PlatformRelayTest {
    private val relay = RelayFixture().also { it.configure("k1") }

    @AfterEach
    fun close() = relay.close()

    private val ok: suspend (lacewingweir.transport.http.ServerExchange) -> Unit = {
        it.respond(200, stamped, "answer".encodeToByteArray())
    }

    @Test
    fun `the request arrives unchanged, with the customer and without the key`(): Unit =
        runBlocking {
            val endpoint = relay.endpoint("i-1", handler = ok)
            val answer =
                relay.call(
                    "idempotent",
                    headers =
                        listOf(
                            "Tenant" to "forged",
                            "Hold" to "1",
                            "X-Other" to "kept",
                        ),
                )
            expectThat(answer) {
                get { status }.isEqualTo(200)
                get { body }.isEqualTo("answer")
            }
            val arrived = endpoint.arrivals.single()
            expectThat(arrived.target).isEqualTo("/idempotent/x?y=%20z")
            expectThat(arrived.body.decodeToString()).isEqualTo("body")
            expectThat(arrived.headers) {
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
    fun `an endpoint that says it did not run the call is followed by another one`(): Unit =
        runBlocking {
            val full = relay.endpoint("i-1") { it.respond(503, listOf("Not-Executed" to "1")) }
            val free = relay.endpoint("i-2", handler = ok)
            repeat(4) { expectThat(relay.call("non_idempotent").status).isEqualTo(200) }
            expectThat(free.arrivals).hasSize(4)
            expectThat(full.arrivals.size).isLessThan(5)
        }

    /** A booking whose answer was lost may have run; another try could book twice. */
    @Test
    fun `a call that may run once is sent once, and its failure promises nothing`(): Unit =
        runBlocking {
            val first = relay.endpoint("i-1") { it.abort() }
            val second = relay.endpoint("i-2") { it.abort() }
            val answer = relay.call("non_idempotent")
            expectThat(answer.status).isEqualTo(502)
            expectThat(first.arrivals.size + second.arrivals.size).isEqualTo(1)
        }

    /** A 503 that does not say so is no promise, so passing it on would tell an untruth. */
    @Test
    fun `a refusal without the endpoint's word is not passed on`(): Unit =
        runBlocking {
            relay.endpoint("i-1") { it.respond(503, stamped) }
            expectThat(relay.call("non_idempotent").status).isEqualTo(502)
        }

    @Test
    fun `a repeatable call goes to another endpoint after a failure`(): Unit =
        runBlocking {
            relay.endpoint("i-1") { it.abort() }
            val second = relay.endpoint("i-2", handler = ok)
            repeat(3) { expectThat(relay.call("idempotent").status).isEqualTo(200) }
            expectThat(second.arrivals).hasSize(3)
        }

    /** Load pattern: endpoints are gone and the budget for repeats is spent by others that turn requests away. */
    @Test
    fun `a send that reached no endpoint takes nothing from the repeat budget`(): Unit =
        runBlocking {
            RelayFixture(repeatExtra = 0.0).use { poor ->
                poor.configure("k1")
                poor.endpoint("i-1", handler = ok).server.close()
                poor.endpoint("i-2", handler = ok)
                repeat(4) { expectThat(poor.call("non_idempotent").status).isEqualTo(200) }
            }
        }

    /** Load pattern: engines are late and the budget is spent; giving a late one up then serves nobody. */
    @Test
    fun `without a repeat left a late endpoint is waited for`(): Unit =
        runBlocking {
            RelayFixture(repeatExtra = 0.0).use { poor ->
                poor.configure("k1")
                val late: suspend (lacewingweir.transport.http.ServerExchange) -> Unit = {
                    delay(1_200)
                    ok(it)
                }
                poor.endpoint("i-1", handler = late)
                poor.endpoint("i-2", handler = late)
                expectThat(poor.call("idempotent").status).isEqualTo(200)
            }
        }

    @Test
    fun `an error of every endpoint is passed on as it is`(): Unit =
        runBlocking {
            relay.endpoint("i-1") { it.respond(500, stamped, "why".encodeToByteArray()) }
            relay.endpoint("i-2") { it.respond(500, stamped, "why".encodeToByteArray()) }
            expectThat(relay.call("idempotent")) {
                get { status }.isEqualTo(500)
                get { body }.isEqualTo("why")
            }
        }

    @Test
    fun `a success that names another request is not passed on`(): Unit =
        runBlocking {
            relay.endpoint("i-1") { it.respond(200, listOf("Server-Stamp" to "s"), "foreign".encodeToByteArray()) }
            expectThat(relay.call("non_idempotent").status).isEqualTo(502)
        }

    @Test
    fun `a withdrawn key is refused at once, an unknown route too`(): Unit =
        runBlocking {
            val endpoint = relay.endpoint("i-1", handler = ok)
            expectThat(relay.call("idempotent").status).isEqualTo(200)
            relay.configure("k2")
            expectThat(relay.call("idempotent", key = "k1").status).isEqualTo(401)
            expectThat(relay.call("idempotent", key = "k2").status).isEqualTo(200)
            expectThat(relay.call("nothing", key = "k2").status).isEqualTo(404)
            expectThat(endpoint.arrivals).hasSize(2)
        }

    @Test
    fun `a keyed call is not served on an old proof, and the refusal says when to come back`(): Unit =
        runBlocking {
            val endpoint = relay.endpoint("i-1", handler = ok)
            relay.limits = relay.limits.copy(maxKeyProofAgeMillis = 0)
            delay(5)
            expectThat(relay.call("idempotent")) {
                get { status }.isEqualTo(503)
                get { retryAfter }.isNotNull()
            }
            expectThat(endpoint.arrivals).isEmpty()
        }

    @Test
    fun `without endpoints a call is refused soon instead of at its deadline`(): Unit =
        runBlocking {
            val took = measureTime { expectThat(relay.call("idempotent").status).isEqualTo(503) }
            expectThat(took.inWholeMilliseconds).isLessThan(1_000)
        }

    @Test
    fun `a call that exceeds its time ends then`(): Unit =
        runBlocking {
            relay.endpoint("i-1") { delay(5_000) }
            val took =
                measureTime { expectThat(relay.call("non_idempotent", deadlineMillis = 300).status).isEqualTo(504) }
            expectThat(took.inWholeMilliseconds).isLessThan(700)
        }

    private val prompt = listOf("Model" to "m", "Token-Counts" to "300,20", "Prompt-Prefix" to "a1:100,b2:200")
    private val eventStream = stamped + ("Content-Type" to "text/event-stream")

    private fun event(id: Int) = "id: $id\ndata: piece$id\n\n".encodeToByteArray()

    /** The caller must see one stream, complete and in order, whatever engine produced its parts. */
    @Test
    fun `a resumable stream goes on at another engine behind the last whole event`(): Unit =
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
            val engines = listOf("i-1", "i-2").map { relay.endpoint(it, "engine", handler) }
            val answer = relay.call("stream", headers = prompt)
            expectThat(answer.whole).isTrue()
            expectThat(answer.body).isEqualTo((1..4).joinToString("") { event(it).decodeToString() })
            expectThat(engines.sumOf { it.arrivals.size }).isEqualTo(2)
        }

    @Test
    fun `a stream that nobody finishes shows as cut`(): Unit =
        runBlocking {
            relay.endpoint("i-1", "engine") { exchange ->
                exchange.startStream(200, eventStream)
                exchange.write(event(1))
                delay(20)
                exchange.abort()
            }
            expectThat(relay.call("stream", headers = prompt).whole).isFalse()
        }

    @Test
    fun `cached parts of an isolated customer and of other weights are kept apart`(): Unit =
        runBlocking {
            val engine =
                relay.endpoint("i-1", "engine") { exchange ->
                    exchange.startStream(200, eventStream)
                    exchange.write(event(1))
                    exchange.finish()
                }
            relay.call("stream", headers = prompt + ("Cache-Salt" to "forged"))
            val headers = engine.arrivals.single().headers
            expectThat(headers.getAll("Cache-Salt")).hasSize(1)
            expectThat(headers.get("Cache-Salt")).contains("acme").contains("1")
            expectThat(headers.get("Expect-Version")).isEqualTo("1")
        }
}
