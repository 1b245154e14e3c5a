package lacewingweir.standin.engine

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.coroutines.async
import kotlinx.coroutines.runBlocking
import lacewingweir.standin.StreamedAnswer
import lacewingweir.standin.post
import lacewingweir.standin.readStream
import lacewingweir.standin.stream
import lacewingweir.testing.eventually
import lacewingweir.transport.http.ClientRequest
import lacewingweir.transport.http.ClientResult
import lacewingweir.transport.http.HttpClient
import lacewingweir.transport.http.readAll
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.endsWith
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isNotEqualTo
import strikt.assertions.isTrue
import java.util.concurrent.atomic.AtomicLong

internal class StandinEngineTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val client = HttpClient(group)
    private val startedEngines = mutableListOf<StandinEngine>()
    private val fastOptions =
        StandinEngineOptions(decodeMillisPerToken = 0, answerTokens = 6, pieceTokens = 10, prefillMillisPerPiece = 20)

    @AfterEach
    fun tearDown() {
        client.close()
        startedEngines.forEach { it.close() }
        group.shutdownGracefully()
    }

    private val now = AtomicLong(1_000)

    // Loads and the cache use a clock that only the tests advance, so that a slow machine doesn't change the results.
    private fun engine(options: StandinEngineOptions = fastOptions): StandinEngine =
        StandinEngine(options) { now.get() }.start().also { startedEngines.add(it) }

    private fun body(
        prompt: String,
        fields: String = "",
    ): String = """{"model":"model","messages":[{"role":"user","content":"$prompt"}]$fields}"""

    private suspend fun StandinEngine.chat(
        prompt: String,
        fields: String = "",
        id: String = "r1",
    ): StreamedAnswer = client.stream(port, "/v1/chat/completions", body(prompt, fields), listOf("X-Request-Id" to id))

    // A stream that is resumed on another engine must equal the uninterrupted stream.
    @Test
    fun `a dropped stream is resumed on another engine at the next chunk`() =
        runBlocking<Unit> {
            val first = engine().also { it.setFaults(StandinEngineFaults(dropAfterChunks = 4)) }
            val beforeDrop = first.chat("hello")
            expectThat(beforeDrop.complete).isFalse()
            expectThat(beforeDrop.indexes).isEqualTo(listOf(0, 1, 2, 3))
            val resumed = engine().chat("hello", ""","resume_at":4""")
            expectThat(resumed.indexes).isEqualTo(listOf(4, 5, 6))
            val expected = StandinAnswer.of("model", "v1", "user: hello\n").text(6)
            expectThat(beforeDrop.content + resumed.content).isEqualTo(expected)
            expectThat(resumed.text).contains("\"completion_tokens\":6").endsWith("data: [DONE]\n\n")
            expectThat(engine().chat("hello", ""","max_tokens":2""").text).contains("\"finish_reason\":\"length\"")
        }

    // Prompts with different salts must not share cache entries, and entries must be evicted.
    @Test
    fun `the cache is separate for each salt and evicts pieces by capacity and by idle time`() =
        runBlocking<Unit> {
            val engine = engine(fastOptions.copy(cachePieces = 4, idleEvictionMillis = 300))
            val prompt = "x".repeat(120)
            expectThat(engine.chat(prompt, ""","cache_salt":"a"""").cachedTokens).isEqualTo(0)
            expectThat(engine.chat(prompt, ""","cache_salt":"a"""").cachedTokens).isEqualTo(30)
            expectThat(engine.chat(prompt, ""","cache_salt":"b"""").cachedTokens).isEqualTo(0)
            expectThat(engine.chat(prompt, ""","cache_salt":"a"""").cachedTokens).isEqualTo(10)
            expectThat(engine.stats().evictedPieces).isGreaterThan(0)
            now.addAndGet(301)
            expectThat(engine.chat(prompt, ""","cache_salt":"a"""").cachedTokens).isEqualTo(0)
        }

    // Cache misses must occupy the engine, and queued requests must start by priority, as on a real engine.
    @Test
    fun `prefill is serial and interactive requests run first`() =
        runBlocking<Unit> {
            val engine = engine(fastOptions.copy(slots = 1, prefillMillisPerPiece = 100))
            val completionOrder = mutableListOf<String>()
            val requests =
                listOf("first" to 1, "batch" to 1, "interactive" to 0).mapIndexed { n, (name, priority) ->
                    val call =
                        async {
                            engine.chat(name.repeat(if (n == 0) 80 else 4), ""","priority":$priority""", name)
                            synchronized(completionOrder) { completionOrder.add(name) }
                        }
                    eventually("$name is queued") { engine.queueLength() == n + 1 }
                    call
                }
            requests.forEach { it.await() }
            expectThat(completionOrder).isEqualTo(mutableListOf("first", "interactive", "batch"))
        }

    // Injected faults must be visible in the stream, so that the checks of a router can detect them.
    @Test
    fun `a wrong id, a wrong index and an early end are visible in the stream`() =
        runBlocking<Unit> {
            val engine = engine()
            engine.setFaults(StandinEngineFaults(wrongRequestId = true, times = 1))
            expectThat(engine.chat("a").response.headers["X-Request-Id"]).isNotEqualTo("r1")
            engine.setFaults(StandinEngineFaults(wrongIndexAt = 2, times = 1))
            expectThat(engine.chat("a").indexes.take(4)).isEqualTo(listOf(0, 1, 3, 3))
            engine.setFaults(StandinEngineFaults(cutBeforeEnd = true, times = 1))
            val truncated = engine.chat("a")
            expectThat(truncated.complete).isTrue()
            expectThat(truncated.text.contains("[DONE]")).isFalse()
            expectThat(engine.chat("a").text).endsWith("data: [DONE]\n\n")
            expectThat(engine.stats().runs).isEqualTo(mapOf("r1" to 4))
        }

    // A reset simulates a crash, so the cache and the incarnation must not survive it.
    @Test
    fun `a reset aborts streams, clears the cache and changes the incarnation`() =
        runBlocking<Unit> {
            val engine = engine(fastOptions.copy(decodeMillisPerToken = 50))
            val prompt = "z".repeat(100)
            val before = engine.chat(prompt)
            val running = client.post(engine.port, "/v1/chat/completions", body(prompt)) as ClientResult.Answered
            engine.setFaults(StandinEngineFaults(reset = true))
            expectThat(running.response.readStream().complete).isFalse()
            val after = engine.chat(prompt)
            expectThat(after.cachedTokens).isEqualTo(0)
            val header = "X-Engine-Incarnation"
            expectThat(after.response.headers[header]).isNotEqualTo(before.response.headers[header])
        }

    // A cancelled request must release its slot.
    @Test
    fun `cancel and disconnect release the slot`() =
        runBlocking<Unit> {
            val engine = engine(fastOptions.copy(slots = 1, decodeMillisPerToken = 500))
            val id = listOf("X-Request-Id" to "gone")
            val running = client.post(engine.port, "/v1/chat/completions", body("a"), id) as ClientResult.Answered
            client.post(engine.port, "/engine/cancel", """{"request_id":"gone"}""")
            expectThat(running.response.readStream().complete).isFalse()
            val disconnected = client.post(engine.port, "/v1/chat/completions", body("b")) as ClientResult.Answered
            disconnected.response.close()
            eventually("both are cancelled") { engine.stats().cancelled == 2L }
            val next = client.post(engine.port, "/v1/chat/completions", body("c")) as ClientResult.Answered
            expectThat(next.response.headers["X-Engine-Load"]).isEqualTo("running=1;waiting=0;prefill=0")
            next.response.close()
        }

    // An engine that checks fencing must refuse outdated load commands.
    @Test
    fun `a load takes time and outdated fencing tokens are refused unless ignored`() =
        runBlocking<Unit> {
            val engine = engine(fastOptions.copy(loadMillis = 200))
            expectThat(engine.load("v2", 5)).isEqualTo(202)
            expectThat(engine.load("v1", 4)).isEqualTo(409)
            val loading = client.post(engine.port, "/v1/chat/completions", body("a")) as ClientResult.Answered
            expectThat(loading.response.status).isEqualTo(503)
            expectThat(loading.response.headers["X-Run"]).isEqualTo("not-run")
            loading.response.readAll(10_000)
            now.addAndGet(200)
            expectThat(engine.chat("a").response.headers["X-Engine-Weights"]).isEqualTo("v2")
            val unfenced = engine(fastOptions.copy(loadMillis = 0, ignoreFencing = true))
            expectThat(unfenced.load("v2", 5)).isEqualTo(202)
            expectThat(unfenced.load("v1", 4)).isEqualTo(202)
            expectThat(unfenced.chat("a").response.headers["X-Engine-Weights"]).isEqualTo("v1")
        }

    private suspend fun StandinEngine.queueLength(): Int {
        val request = ClientRequest("127.0.0.1", port, "GET", "/engine/status")
        val body = (client.open(request) as ClientResult.Answered).response.readAll(10_000)!!.decodeToString()
        return Regex("\"(?:running|waiting)\":(\\d+)").findAll(body).sumOf { it.groupValues[1].toInt() }
    }

    private suspend fun StandinEngine.load(
        weights: String,
        fencing: Long,
    ): Int {
        val body = """{"model":"model","weights":"$weights","fencing":$fencing,"order_id":"o"}"""
        val response = (client.post(port, "/engine/load", body) as ClientResult.Answered).response
        response.readAll(10_000)
        return response.status
    }

    @Test
    fun `the control path sets faults and requests are captured`() =
        runBlocking<Unit> {
            val engine = engine(fastOptions.copy(capture = true))
            client.stream(engine.port, "/standin/faults", """{"leaving":true,"delayMillis":50}""")
            val startNanos = System.nanoTime()
            val answer = engine.chat("secret-text")
            expectThat((System.nanoTime() - startNanos) / 1_000_000).isGreaterThan(49).isLessThan(2_000)
            expectThat(answer.response.headers["X-Engine-Leaving"]).isEqualTo("true")
            expectThat(engine.stats().captured.single()).contains("secret-text").contains("X-Request-Id: r1")
            expectThat(client.stream(engine.port, "/standin/faults", """{"dely":1}""").response.status).isEqualTo(400)
        }
}
