package lacewingweir.fleet

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import lacewingweir.standin.engine.StandinAnswer
import lacewingweir.testing.ChatStream
import lacewingweir.testing.ProcessFleet
import lacewingweir.transport.http.readAll
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestInstance
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import strikt.assertions.isTrue
import java.util.Base64

/** Requests through a fleet of processes: three instances, three engines, a service and the platform. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
internal class EndToEndTest {
    private val fleet = ProcessFleet()

    @AfterAll
    fun tearDown() = fleet.close()

    private fun expectedText(
        prompt: String,
        tokens: Int,
    ): String = StandinAnswer.of("grade", "v1", "user: $prompt\n").text(tokens)

    private suspend fun chat(
        instance: Int,
        prompt: String,
        tokens: Int,
    ): ChatStream {
        val response =
            fleet.post(
                fleet.instances[instance],
                "/v1/chat/completions",
                ProcessFleet.chatBody(prompt, tokens),
            )
        return ChatStream.read(checkNotNull(response))
    }

    // Guards against chunks that are lost, out of order or from another answer.
    @Test
    fun `streamed answers arrive byte-exact and in order on every instance`() =
        runBlocking<Unit> {
            val answers = (0 until 30).map { n -> async { n to chat(n % 3, "shared prefix $n", 20) } }.awaitAll()
            for ((n, answer) in answers) {
                expectThat(answer.text).isEqualTo(expectedText("shared prefix $n", 20))
                expectThat(answer.done && answer.ended).isTrue()
            }
        }

    // Guards against a truncated stream that looks complete after an engine crash, and against lost or repeated tokens.
    @Test
    fun `a stream whose engine drops the connection is resumed at the next token`() =
        runBlocking<Unit> {
            fleet.engines.forEach { fleet.setFaults(it.port, """{"dropAfterChunks":5,"times":1}""") }
            val answer = chat(0, "engine dies", 40)
            expectThat(answer.text).isEqualTo(expectedText("engine dies", 40))
            expectThat(answer.done).isTrue()
            fleet.engines.forEach { fleet.setFaults(it.port, "{}") }
        }

    // Guards against a stream that can't be resumed on another instance after its own instance is gone.
    @Test
    fun `a stream that the caller stopped reading is resumed on another instance`() =
        runBlocking<Unit> {
            val body = ProcessFleet.chatBody("taken up", 30)
            val first =
                ChatStream.read(
                    checkNotNull(fleet.post(fleet.instances[0], "/v1/chat/completions", body)),
                    stopAfter = 7,
                )
            val headers =
                listOf(
                    "Authorization" to "Bearer ${ProcessFleet.KEY}",
                    "Last-Event-ID" to checkNotNull(first.lastEventId),
                )
            val rest =
                ChatStream.read(checkNotNull(fleet.post(fleet.instances[1], "/v1/chat/completions", body, headers)))
            expectThat(first.text + rest.text).isEqualTo(expectedText("taken up", 30))
            expectThat(rest.done).isTrue()
        }

    // Guards against sending a caller's key to an endpoint, in plain text or in Base64.
    @Test
    fun `no endpoint receives the caller's key`() =
        runBlocking<Unit> {
            chat(0, "key test", 3)
            val headers = listOf("Authorization" to "Bearer ${ProcessFleet.KEY}", "x-api-key" to ProcessFleet.KEY)
            fleet
                .post(
                    fleet.instances[1],
                    "/services/lots?api_key=${ProcessFleet.KEY}&lot=4",
                    "{}",
                    headers,
                )?.readAll(9_999)
            val captures =
                (fleet.engines + fleet.service).map { checkNotNull(fleet.get(it.port, "/standin/stats")) }
            expectThat(captures.last()).contains("lot")
            for (capture in captures) {
                expectThat(ProcessFleet.KEY in capture).isFalse()
                val encodedKey = Base64.getEncoder().encodeToString(ProcessFleet.KEY.toByteArray())
                expectThat(encodedKey in capture).isFalse()
            }
        }

    // Guards against a second run of a reservation that several instances receive at the same time.
    @Test
    fun `a reservation sent to all instances at once runs once`() =
        runBlocking<Unit> {
            val headers = listOf("Authorization" to "Bearer ${ProcessFleet.KEY}", "Idempotency-Key" to "order-1")
            val statuses =
                (0 until 9)
                    .map { n ->
                        async {
                            fleet
                                .post(
                                    fleet.instances[n % 3],
                                    "/services/reservations",
                                    """{"lot":1}""",
                                    headers,
                                )?.status
                        }
                    }.awaitAll()
            expectThat(statuses).contains(200)
            val stats = checkNotNull(fleet.get(fleet.service.port, "/standin/stats"))
            expectThat(Regex("\"order-1\":(\\d+)").find(stats)?.groupValues?.get(1)).isEqualTo("1")
        }

    // Guards against running requests of callers without a valid key.
    @Test
    fun `a request with an unknown key is refused and not run`() =
        runBlocking<Unit> {
            val headers = listOf("Authorization" to "Bearer wrong")
            val body = ProcessFleet.chatBody("x", 3)
            val response = checkNotNull(fleet.post(fleet.instances[0], "/v1/chat/completions", body, headers))
            expectThat(response.status).isEqualTo(401)
            expectThat(response.headers.get("X-Lacewingweir-Run")).isEqualTo("not-run")
        }

    // Guards against an instance that doesn't adopt a published bundle.
    @Test
    fun `a published bundle is in force on all instances within five seconds`() =
        runBlocking<Unit> {
            fleet.publish(2)
            delay(5_000)
            for (instance in fleet.instances) {
                expectThat(fleet.get(instance.operatorPort, "/fleet")).isNotNull().contains("\"bundle\":2")
            }
            expectThat(chat(2, "after", 3).error).isNull()
        }
}
