package lacewingweir.platform

import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import lacewingweir.platform.RelayFixture.Companion.responseHeaders
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isLessThan
import strikt.assertions.isTrue
import kotlin.time.measureTime

/** Guards against slow but sound streams that are cut, and against stalled ones that never end. */
internal class StalledStreamTest {
    private val relay = RelayFixture(routeTimeoutMillis = 3_000).also { it.configure("k1") }
    private val prompt = listOf("Model" to "m", "Token-Counts" to "300,20", "Prompt-Prefix" to "a1:100,b2:200")
    private val eventStream = responseHeaders + ("Content-Type" to "text/event-stream")

    @AfterEach
    fun close() = relay.close()

    private fun event(id: Int) = "id: $id\ndata: piece$id\n\n"

    @Test
    fun `a stream whose events come slowly and in small parts is delivered whole`(): Unit =
        runBlocking {
            relay.endpoint("i-1", "engine") { exchange ->
                exchange.startStream(200, eventStream)
                for (id in 1..5) {
                    for (part in event(id).chunked(6)) {
                        exchange.write(part.encodeToByteArray())
                        delay(80)
                    }
                    delay(150)
                }
                exchange.finish()
            }
            val response = relay.call("stream", headers = prompt, callerTimeoutMillis = 3_000)
            expectThat(response.complete).isTrue()
            expectThat(response.body).isEqualTo((1..5).joinToString("", transform = ::event))
        }

    @Test
    fun `a stream of which only a byte comes now and then ends at the deadline of its caller`() =
        playStalled(headFirst = true)

    @Test
    fun `a response whose head never ends is given up at the deadline of its caller`() = playStalled(headFirst = false)

    private fun playStalled(headFirst: Boolean): Unit =
        runBlocking {
            relay.endpoint("i-1", "engine") { exchange ->
                if (headFirst) exchange.startStream(200, eventStream)
                if (headFirst) exchange.write(event(1).encodeToByteArray())
                while (true) {
                    delay(50)
                    if (headFirst) exchange.write(":".encodeToByteArray())
                }
            }
            val duration =
                measureTime {
                    val response = relay.call("stream", headers = prompt, callerTimeoutMillis = 1_000)
                    expectThat(headFirst && response.complete).isFalse()
                }
            expectThat(duration.inWholeMilliseconds).isLessThan(1_500)
        }
}
