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
    private val fixture = GatewayFixture()
    private val firstEngine = fixture.engines[0]
    private val secondEngine = fixture.engines[1]

    @AfterEach
    fun tearDown() = fixture.close()

    /** The caller receives the end of its stream before the relay reports the outcome to the scheduler. */
    private suspend fun expectOutcomes(vararg expected: AttemptOutcome) {
        fixture.eventually { fixture.scheduler.outcomes.size >= expected.size }
        expectThat(fixture.scheduler.outcomes).containsExactly(*expected)
    }

    private fun completeStream(id: String): List<String> =
        (0 until 20).map { firstEngine.chunk(id, it) } + firstEngine.usage(id) + "[DONE]"

    // Guards against chunks that are lost, repeated, reordered or changed between engine and caller.
    @Test
    fun `a stream reaches the caller byte for byte and in order`() =
        runBlocking<Unit> {
            val response = fixture.chat()
            val id = checkNotNull(response.headers.get("X-Request-Id"))
            val events = response.events()
            expectThat(events.list.map { it.data }).isEqualTo(completeStream(id))
            expectThat(events.list.mapNotNull { it.id }).hasSize(22)
            // The usage chunk and the end share a position, because only the end remains after either of them.
            expectThat(events.list.mapNotNull { it.id }.distinct()).hasSize(21)
            expectThat(events.complete).isTrue()
            expectOutcomes(AttemptOutcome.COMPLETED)
            // The 12 bytes of prompt text are charged as ceil(12 / 4) tokens; the usage report raises the charge to 9.
            expectThat(fixture.rates.consumedTokens.get()).isEqualTo(9 + 20)
            fixture.eventually { fixture.rates.open.get() == 0L }
        }

    // Guards against a gap or a repeat where a stream continues on another engine.
    @Test
    fun `a stream is resumed on another engine at the next index when its engine fails`() =
        runBlocking<Unit> {
            firstEngine.abortAtIndex = 7
            val response = fixture.chat()
            val id = checkNotNull(response.headers.get("X-Request-Id"))
            val events = response.events()
            expectThat(events.list.map { it.data }).isEqualTo(completeStream(id))
            expectThat(secondEngine.receivedRequests.single().body).contains(""""resume_at":7""")
            expectThat(fixture.rates.consumedTokens.get()).isEqualTo(9 + 20)
            expectOutcomes(AttemptOutcome.FAILED, AttemptOutcome.COMPLETED)
        }

    // Guards against an incomplete response that appears to be complete.
    @Test
    fun `a stream that cannot be resumed ends with an error event and without DONE`() =
        runBlocking<Unit> {
            firstEngine.abortAtIndex = 7
            secondEngine.abortAtIndex = 9
            val events = fixture.chat().events()
            expectThat(events.list).hasSize(10)
            expectThat(events.list.last().event).isEqualTo("error")
            expectThat(events.list.last().data).contains("no_engine")
            expectThat(events.complete).isFalse()
        }

    // Guards against a caller receiving the response to another request.
    @Test
    fun `a response with another request id is dropped`() =
        runBlocking<Unit> {
            firstEngine.wrongRequestId = true
            val response = fixture.chat()
            val id = checkNotNull(response.headers.get("X-Request-Id"))
            expectThat(response.events().list.map { it.data }).isEqualTo(completeStream(id))
        }

    // Guards against a chunk that is lost in the engine or on the connection.
    @Test
    fun `a stream with a gap in the chunk indexes is resumed on another engine`() =
        runBlocking<Unit> {
            firstEngine.skipIndex = 5
            val response = fixture.chat()
            val id = checkNotNull(response.headers.get("X-Request-Id"))
            expectThat(response.events().list.map { it.data }).isEqualTo(completeStream(id))
            expectThat(secondEngine.receivedRequests.single().body).contains(""""resume_at":5""")
        }

    // Guards against an unresponsive engine that delays requests until the route's deadline.
    @Test
    fun `an attempt without a first token in time is retried on another engine`() =
        runBlocking<Unit> {
            fixture.scheduler.firstTokenTimeoutMillis = 300
            firstEngine.neverRespond = true
            val startNanos = System.nanoTime()
            expectThat(fixture.chat().events().complete).isTrue()
            firstEngine.neverRespond = false
            firstEngine.neverStream = true
            expectThat(fixture.chat().events().complete).isTrue()
            expectThat((System.nanoTime() - startNanos) / 1_000_000).isLessThan(5_000L)
            expectThat(fixture.scheduler.outcomes.count { it == AttemptOutcome.FAILED }).isEqualTo(2)
        }

    // Guards against a response from outdated weights.
    @Test
    fun `a response from other weights is dropped before the first byte`() =
        runBlocking<Unit> {
            firstEngine.weights = "w0"
            secondEngine.weights = "w0"
            val response = fixture.chat()
            expectThat(response.status).isEqualTo(503)
            expectThat(response.headers.get("Retry-After")).isEqualTo("2")
            expectThat(response.headers.get("X-Lacewingweir-Run")).isEqualTo("unknown")
            expectThat(fixture.scheduler.outcomes)
                .containsExactly(AttemptOutcome.NOT_SERVING, AttemptOutcome.NOT_SERVING)
        }

    @Test
    fun `a non-streaming request receives one complete response even if an engine fails`() =
        runBlocking<Unit> {
            firstEngine.abortAtIndex = 3
            val response = fixture.chat(GatewayFixture.BUFFERED_BODY)
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
            expectThat(
                firstEngine.receivedRequests.single().body,
            ).contains(""""max_tokens":50""").contains(""""stream":true""")
        }

    // Guards against a resume token that is accepted for another customer, request body or weights version.
    @Test
    fun `a resume token is accepted only for the same customer, body and weights`() =
        runBlocking<Unit> {
            val events = fixture.chat().events().list
            val resumeHeaders = listOf("Last-Event-ID" to checkNotNull(events[4].id))
            val resumed = fixture.chat(headers = resumeHeaders).events().list
            expectThat(resumed.map { it.data }).isEqualTo(events.drop(5).map { it.data })
            val afterEnd = listOf("Last-Event-ID" to checkNotNull(events.last().id))
            expectThat(
                fixture
                    .chat(headers = afterEnd)
                    .events()
                    .list
                    .map { it.data },
            ).containsExactly("[DONE]")

            val otherCustomer = fixture.chat(key = GatewayFixture.OTHER_KEY, headers = resumeHeaders)
            expectThat(otherCustomer.status).isEqualTo(400)
            expectThat(otherCustomer.text()).contains("another customer")
            val otherBody = fixture.chat(GatewayFixture.STREAM_BODY.replace("hello", "hallo"), headers = resumeHeaders)
            expectThat(otherBody.text()).contains("another request body")
            fixture.bundle =
                fixture.bundle.copy(models = fixture.bundle.models.map { it.copy(weights = WeightsVersion("w2")) })
            expectThat(fixture.chat(headers = resumeHeaders).text()).contains("another weights version")
        }

    // Guards against a withdrawn key that continues to work on an open connection.
    @Test
    fun `withdrawing a key ends its running requests and cancels them on the engine`() =
        runBlocking<Unit> {
            firstEngine.chunkDelayMillis = 200
            val response = fixture.chat()
            response.read()
            val startNanos = System.nanoTime()
            fixture.keys.withdraw(GatewayFixture.KEY)
            val events = response.events()
            expectThat((System.nanoTime() - startNanos) / 1_000_000).isLessThan(3_000)
            expectThat(events.list.last().event).isEqualTo("error")
            expectThat(events.list.last().data).contains("key_withdrawn")
            expectThat(events.complete).isFalse()
            fixture.eventually { firstEngine.cancelRequests.any { response.headers.get("X-Request-Id") in it } }
            fixture.eventually { fixture.rates.open.get() == 0L }
            expectOutcomes(AttemptOutcome.CANCELLED)
            expectThat(fixture.chat().status).isEqualTo(401)
        }

    @Test
    fun `withdrawing a key ends a non-streaming request with 401`() =
        runBlocking<Unit> {
            firstEngine.chunkDelayMillis = 200
            val pendingResponse = async { fixture.chat(GatewayFixture.BUFFERED_BODY) }
            // The second chunk is sent 200 ms after the response headers, which the router has read by then.
            fixture.eventually { firstEngine.chunksSent.get() >= 2 }
            fixture.keys.withdraw(GatewayFixture.KEY)
            val response = pendingResponse.await()
            expectThat(response.status).isEqualTo(401)
            expectThat(response.headers.get("X-Lacewingweir-Run")).isEqualTo("run")
        }

    // Guards against an engine that continues to work for a disconnected caller.
    @Test
    fun `a request is cancelled on the engine when its caller disconnects`() =
        runBlocking<Unit> {
            firstEngine.chunkDelayMillis = 100
            val response = fixture.chat()
            response.read()
            response.close()
            fixture.eventually { firstEngine.cancelRequests.isNotEmpty() }
            val id = RequestId(checkNotNull(response.headers.get("X-Request-Id")))
            fixture.eventually { fixture.requests.find(id)?.outcome == "disconnected" }
        }

    // Guards against unbounded memory use for a caller that does not read.
    @Test
    fun `a slow caller applies backpressure to the engine`() =
        runBlocking<Unit> {
            firstEngine.tokenCount = 250
            firstEngine.padding = "x".repeat(200_000)
            val response = fixture.chat(GatewayFixture.STREAM_BODY)
            response.read()
            var previousCount = -1L
            while (previousCount != firstEngine.chunksSent.get()) {
                previousCount = firstEngine.chunksSent.get()
                delay(400)
            }
            // 250 chunks of 200 kB exceed the socket buffers of both hops; without backpressure all would be sent.
            expectThat(previousCount).isLessThan(250)
            var lastRead: ReadResult = response.read()
            var bytes = 0L
            while (lastRead is ReadResult.Data) {
                bytes += lastRead.bytes.size
                lastRead = response.read()
            }
            expectThat(lastRead).isEqualTo(ReadResult.End)
            expectThat(bytes).isGreaterThan(50_000_000)
        }

    @Test
    fun `a request record lists decisions and attempts`() =
        runBlocking<Unit> {
            firstEngine.abortAtIndex = 2
            val response = fixture.chat()
            response.events()
            val id = RequestId(checkNotNull(response.headers.get("X-Request-Id")))
            fixture.eventually { fixture.requests.find(id)?.outcome == "completed" }
            val record = fixture.requests.find(id)
            expectThat(record).isNotNull()
            expectThat(record!!.steps.map { it.what })
                .containsExactly("key", "route", "rate", "schedule", "attempt failed", "schedule", "completed")
            expectThat(
                fixture.requests
                    .find(RequestId("unknown"))
                    ?.steps
                    .orEmpty(),
            ).isEmpty()
        }
}
