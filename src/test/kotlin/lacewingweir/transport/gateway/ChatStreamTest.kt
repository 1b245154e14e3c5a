package lacewingweir.transport.gateway

import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import lacewingweir.coordination.routing.AttemptOutcome
import lacewingweir.state.id.RequestId
import lacewingweir.state.id.WeightsVersion
import lacewingweir.transport.http.ReadResult
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isNotNull
import strikt.assertions.isTrue

internal class ChatStreamTest {
    private val fleet = GatewayFixture()
    private val first = fleet.engines[0]
    private val second = fleet.engines[1]

    @AfterEach
    fun tearDown() = fleet.close()

    private fun wholeStream(id: String): List<String> =
        (0 until 20).map { first.chunk(id, it) } + first.usage(id) + "[DONE]"

    // Guards against chunks that are lost, repeated, reordered or changed on the way to the caller.
    @Test
    fun `a stream reaches the caller byte for byte and in order`() =
        runBlocking<Unit> {
            val response = fleet.chat()
            val id = checkNotNull(response.headers.get("X-Request-Id"))
            val events = response.events()
            expectThat(events.list.map { it.data }).isEqualTo(wholeStream(id))
            expectThat(events.list.mapNotNull { it.id }).hasSize(22)
            // Usage and end share a position: after either only the end is still to come.
            expectThat(events.list.mapNotNull { it.id }.distinct()).hasSize(21)
            expectThat(events.whole).isTrue()
            expectThat(fleet.scheduler.outcomes).containsExactly(AttemptOutcome.COMPLETED)
            // Five bytes of prompt text beyond the role give ceil(12 / 4) tokens; usage corrects them to 9.
            expectThat(fleet.rates.settled.get()).isEqualTo(9 + 20)
            fleet.eventually { fleet.rates.open.get() == 0L }
        }

    // Guards against a gap or a repeat where a stream goes on on another engine.
    @Test
    fun `a stream whose engine dies is resumed at the next index`() =
        runBlocking<Unit> {
            first.cutAt = 7
            val response = fleet.chat()
            val id = checkNotNull(response.headers.get("X-Request-Id"))
            val events = response.events()
            expectThat(events.list.map { it.data }).isEqualTo(wholeStream(id))
            expectThat(second.seen.single().body).contains(""""resume_at":7""")
            expectThat(fleet.rates.settled.get()).isEqualTo(9 + 20)
            expectThat(fleet.scheduler.outcomes).containsExactly(AttemptOutcome.FAILED, AttemptOutcome.COMPLETED)
        }

    // Guards against a cut answer that looks whole.
    @Test
    fun `a stream that can't be resumed ends with an error event and without DONE`() =
        runBlocking<Unit> {
            first.cutAt = 7
            second.cutAt = 9
            val events = fleet.chat().events()
            expectThat(events.list).hasSize(10)
            expectThat(events.list.last().event).isEqualTo("error")
            expectThat(events.list.last().data).contains("no_engine")
            expectThat(events.whole).isFalse()
        }

    // Guards against an answer of another request reaching this caller.
    @Test
    fun `an answer with another request id is dropped`() =
        runBlocking<Unit> {
            first.crossed = true
            val response = fleet.chat()
            val id = checkNotNull(response.headers.get("X-Request-Id"))
            expectThat(response.events().list.map { it.data }).isEqualTo(wholeStream(id))
        }

    // Guards against a chunk that goes missing inside the engine or on the connection.
    @Test
    fun `a gap in the indexes is repaired on another engine`() =
        runBlocking<Unit> {
            first.skipAt = 5
            val response = fleet.chat()
            val id = checkNotNull(response.headers.get("X-Request-Id"))
            expectThat(response.events().list.map { it.data }).isEqualTo(wholeStream(id))
            expectThat(second.seen.single().body).contains(""""resume_at":5""")
        }

    // Guards against a hung engine that delays requests until the route's deadline.
    @Test
    fun `an engine without a first token in time is left for another`() =
        runBlocking<Unit> {
            fleet.scheduler.firstTokenTimeoutMillis = 300
            first.hang = true
            val started = System.nanoTime()
            expectThat(fleet.chat().events().whole).isTrue()
            first.hang = false
            first.hangAfterHead = true
            expectThat(fleet.chat().events().whole).isTrue()
            expectThat((System.nanoTime() - started) / 1_000_000).isLessThan(5_000L)
            expectThat(fleet.scheduler.outcomes.count { it == AttemptOutcome.FAILED }).isEqualTo(2)
        }

    // Guards against an answer of older weights.
    @Test
    fun `wrong weights are dropped before the first byte`() =
        runBlocking<Unit> {
            first.weights = "w0"
            second.weights = "w0"
            val response = fleet.chat()
            expectThat(response.status).isEqualTo(503)
            expectThat(response.headers.get("Retry-After")).isEqualTo("2")
            expectThat(response.headers.get("X-Lacewingweir-Run")).isEqualTo("unknown")
            expectThat(fleet.scheduler.outcomes)
                .containsExactly(AttemptOutcome.NOT_SERVING, AttemptOutcome.NOT_SERVING)
        }

    @Test
    fun `a caller without stream gets one whole completion even if an engine dies`() =
        runBlocking<Unit> {
            first.cutAt = 3
            val response = fleet.chat(GatewayFixture.WHOLE_BODY)
            val completion = Json.parseToJsonElement(response.text()).jsonObject
            val choice =
                completion
                    .getValue("choices")
                    .jsonArray
                    .single()
                    .jsonObject
            expectThat(completion.getValue("object").jsonPrimitive.content).isEqualTo("chat.completion")
            expectThat(
                completion
                    .getValue("usage")
                    .jsonObject
                    .getValue("prompt_tokens")
                    .jsonPrimitive.content,
            ).isEqualTo("9")
            expectThat(
                choice
                    .getValue("message")
                    .jsonObject
                    .getValue("content")
                    .jsonPrimitive.content,
            ).isEqualTo((0 until 20).joinToString("") { "é$it " })
            expectThat(first.seen.single().body).contains(""""max_tokens":50""").contains(""""stream":true""")
        }

    // Guards against a resume that another customer, body or weights version could use.
    @Test
    fun `a stream is resumed by token for the same customer and body only`() =
        runBlocking<Unit> {
            val events = fleet.chat().events().list
            val resume = listOf("Last-Event-ID" to checkNotNull(events[4].id))
            val resumed = fleet.chat(headers = resume).events().list
            expectThat(resumed.map { it.data }).isEqualTo(events.drop(5).map { it.data })
            val afterEnd = listOf("Last-Event-ID" to checkNotNull(events.last().id))
            expectThat(
                fleet
                    .chat(headers = afterEnd)
                    .events()
                    .list
                    .map { it.data },
            ).containsExactly("[DONE]")

            val foreign = fleet.chat(key = GatewayFixture.OTHER_KEY, headers = resume)
            expectThat(foreign.status).isEqualTo(400)
            expectThat(foreign.text()).contains("another customer")
            val otherBody = fleet.chat(GatewayFixture.STREAM_BODY.replace("hello", "hallo"), headers = resume)
            expectThat(otherBody.text()).contains("another request body")
            fleet.bundle =
                fleet.bundle.copy(models = fleet.bundle.models.map { it.copy(weights = WeightsVersion("w2")) })
            expectThat(fleet.chat(headers = resume).text()).contains("another weights version")
        }

    // Guards against a withdrawn key that goes on working on an open connection.
    @Test
    fun `a withdrawn key ends open requests and cancels the engine's work`() =
        runBlocking<Unit> {
            first.chunkDelayMillis = 200
            val response = fleet.chat()
            response.read()
            val started = System.nanoTime()
            fleet.keys.withdraw(GatewayFixture.KEY)
            val events = response.events()
            expectThat((System.nanoTime() - started) / 1_000_000).isLessThan(3_000)
            expectThat(events.list.last().event).isEqualTo("error")
            expectThat(events.list.last().data).contains("key_withdrawn")
            expectThat(events.whole).isFalse()
            fleet.eventually { first.cancelled.any { response.headers.get("X-Request-Id") in it } }
            fleet.eventually { fleet.rates.open.get() == 0L }
            expectThat(fleet.scheduler.outcomes).containsExactly(AttemptOutcome.CANCELLED)
            expectThat(fleet.chat().status).isEqualTo(401)
        }

    @Test
    fun `a withdrawn key ends a request without stream with 401`() =
        runBlocking<Unit> {
            first.chunkDelayMillis = 200
            val pending = async { fleet.chat(GatewayFixture.WHOLE_BODY) }
            // The second chunk is sent 200 ms after the head, which the router has read by then.
            fleet.eventually { first.chunksSent.get() >= 2 }
            fleet.keys.withdraw(GatewayFixture.KEY)
            val response = pending.await()
            expectThat(response.status).isEqualTo(401)
            expectThat(response.headers.get("X-Lacewingweir-Run")).isEqualTo("run")
        }

    // Guards against engine work for a caller who has left.
    @Test
    fun `a caller that disconnects cancels the engine's work`() =
        runBlocking<Unit> {
            first.chunkDelayMillis = 100
            val response = fleet.chat()
            response.read()
            response.close()
            fleet.eventually { first.cancelled.isNotEmpty() }
            val id = RequestId(checkNotNull(response.headers.get("X-Request-Id")))
            fleet.eventually { fleet.requests.find(id)?.outcome == "disconnected" }
        }

    // Guards against unbounded memory for a caller that doesn't read.
    @Test
    fun `a slow caller slows the engine down`() =
        runBlocking<Unit> {
            first.tokens = 250
            first.padding = "x".repeat(200_000)
            val response = fleet.chat(GatewayFixture.STREAM_BODY)
            response.read()
            var before = -1L
            while (before != first.chunksSent.get()) {
                before = first.chunksSent.get()
                delay(400)
            }
            // 250 chunks of 200 kB exceed the socket buffers of both hops; without backpressure all would be sent.
            expectThat(before).isLessThan(250)
            var last: ReadResult = response.read()
            var bytes = 0L
            while (last is ReadResult.Data) {
                bytes += last.bytes.size
                last = response.read()
            }
            expectThat(last).isEqualTo(ReadResult.End)
            expectThat(bytes).isGreaterThan(50_000_000)
        }

    @Test
    fun `a request record tells decisions and attempts`() =
        runBlocking<Unit> {
            first.cutAt = 2
            val response = fleet.chat()
            response.events()
            val id = RequestId(checkNotNull(response.headers.get("X-Request-Id")))
            fleet.eventually { fleet.requests.find(id)?.outcome == "completed" }
            val record = fleet.requests.find(id)
            expectThat(record).isNotNull()
            expectThat(record!!.steps.map { it.what })
                .containsExactly("key", "route", "rate", "schedule", "attempt failed", "schedule", "completed")
            expectThat(
                fleet.requests
                    .find(RequestId("unknown"))
                    ?.steps
                    .orEmpty(),
            ).isEmpty()
        }
}
