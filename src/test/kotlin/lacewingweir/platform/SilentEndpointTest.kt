package lacewingweir.platform

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import lacewingweir.platform.RelayFixture.Companion.responseHeaders
import lacewingweir.transport.http.ServerExchange
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isTrue
import java.util.concurrent.CopyOnWriteArrayList

/** Guards against calls that are cut or end with an error because a sound endpoint was silent for a moment. */
internal class SilentEndpointTest {
    private val prompt = listOf("Model" to "m", "Token-Counts" to "300,20", "Prompt-Prefix" to "a1:100,b2:200")
    private val eventStream = responseHeaders + ("Content-Type" to "text/event-stream")

    @Volatile
    private var silentUntilNanos = 0L

    @Volatile
    private var busyMillis = 0L

    private fun fallSilent() {
        silentUntilNanos = System.nanoTime() + SILENCE_MILLIS * 1_000_000
    }

    private suspend fun awaitSound() {
        while (System.nanoTime() < silentUntilNanos) delay(5)
    }

    private suspend fun answer(exchange: ServerExchange) {
        val headers = listOf("Attempt-Id" to exchange.headers.get("Attempt-Id"), "Server-Stamp" to "stamp")
        exchange.respond(200, headers, "answer".encodeToByteArray())
    }

    private fun fixture(repeatExtra: Double = 50.0) = RelayFixture(repeatExtra).also { it.configure("k1") }

    private fun event(id: Int) = "id: $id\ndata: piece$id\n\n"

    @Test
    fun `bookings wait for an endpoint that is silent before the head`(): Unit =
        runBlocking {
            fixture().use { relay ->
                val endpoint =
                    relay.endpoint("i-1") {
                        awaitSound()
                        answer(it)
                    }
                fallSilent()
                val statuses = playConcurrent(relay, "non_idempotent", count = 20)
                expectThat(statuses).isEqualTo(mapOf(200 to 20))
                expectThat(endpoint.receivedRequests).hasSize(20)
            }
        }

    @Test
    fun `a body whose endpoint falls silent in the middle is delivered whole`(): Unit =
        runBlocking {
            val server =
                RawServer {
                    write("HTTP/1.1 200 OK\r\nAttempt-Id: ${it.id}\r\nServer-Stamp: s\r\nContent-Length: 8\r\n\r\nhalf")
                    Thread.sleep(SILENCE_MILLIS)
                    write("half")
                }
            fixture().use { relay ->
                server.use {
                    relay.registerPlain("i-1", server.port)
                    for (kind in listOf("idempotent", "non_idempotent")) {
                        val response = relay.call(kind, id = "4c41d07be2a35f68".reversed() + kind.length)
                        expectThat(response.status).isEqualTo(200)
                        expectThat(response.body).isEqualTo("halfhalf")
                    }
                }
            }
        }

    @Test
    fun `a stream whose engine falls silent between events is delivered whole`(): Unit =
        runBlocking {
            fixture().use { relay ->
                repeat(2) { number ->
                    relay.endpoint("i-$number", "engine") { exchange ->
                        exchange.startStream(200, eventStream)
                        for (id in 1..5) {
                            exchange.write(event(id).encodeToByteArray())
                            delay(if (id == 3) SILENCE_MILLIS else 20)
                        }
                        exchange.finish()
                    }
                }
                val response = relay.call("stream", headers = prompt)
                expectThat(response.complete).isTrue()
                expectThat(response.body).isEqualTo((1..5).joinToString("", transform = ::event))
            }
        }

    /** An endpoint answers after all what the fleet may not send to another one. */
    @Test
    fun `look-ups at an endpoint that is silent are answered when few may be repeated`(): Unit =
        runBlocking { playLookUps(repeatExtra = 5.0) }

    @Test
    fun `look-ups at an endpoint that is silent are answered when all may be repeated`(): Unit =
        runBlocking { playLookUps(repeatExtra = 100.0) }

    private suspend fun playLookUps(repeatExtra: Double) =
        fixture(repeatExtra).use { relay ->
            val silent =
                relay.endpoint("i-1") {
                    awaitSound()
                    answer(it)
                }
            // Both are as busy, so half of the calls go to the silent one.
            relay.endpoint("i-2") {
                delay(BUSY_MILLIS)
                answer(it)
            }
            repeat(4) { relay.call("idempotent", id = "first-$it") }
            fallSilent()
            expectThat(playConcurrent(relay, "idempotent", count = 40)).isEqualTo(mapOf(200 to 40))
            expectThat(silent.receivedRequests.size).isGreaterThan(10)
        }

    @Test
    fun `an endpoint gets its share of calls again soon after it was silent`(): Unit =
        runBlocking {
            fixture().use { relay ->
                val silent =
                    relay.endpoint("i-1") {
                        awaitSound()
                        answer(it)
                    }
                relay.endpoint("i-2") {
                    delay(busyMillis)
                    answer(it)
                }
                busyMillis = BUSY_MILLIS
                fallSilent()
                playConcurrent(relay, "idempotent", count = 40)
                busyMillis = 0
                delay(SILENCE_MILLIS)
                val before = silent.receivedRequests.size
                repeat(LATER_CALLS) { number ->
                    expectThat(relay.call("idempotent", id = "later-$number").status).isEqualTo(200)
                }
                val share = (silent.receivedRequests.size - before) / LATER_CALLS.toDouble()
                expectThat(share).isGreaterThan(0.3)
            }
        }

    /** Returns the number of responses by status. */
    private fun playConcurrent(
        relay: RelayFixture,
        kind: String,
        count: Int,
    ): Map<Int, Int> =
        runBlocking {
            val statuses = CopyOnWriteArrayList<Int>()
            (0 until count)
                .map { number -> async { statuses += relay.call(kind, id = "id-$kind-$number").status } }
                .awaitAll()
            statuses.groupingBy { it }.eachCount()
        }

    private companion object {
        const val SILENCE_MILLIS: Long = 1_200
        const val BUSY_MILLIS: Long = 500
        const val LATER_CALLS = 60
    }
}
