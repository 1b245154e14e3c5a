package lacewingweir.platform

import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import strikt.api.expectThat
import strikt.assertions.isFalse

/** Guards against streams that count as complete although the response of their engine repeats events. */
@Timeout(20)
internal class RepeatedEventTest {
    private val relay = RelayFixture().also { it.configure("k1") }
    private val servers = ArrayList<RawServer>()

    @AfterEach
    fun close() {
        servers.forEach { it.close() }
        relay.close()
    }

    private fun event(number: Int) = "id: $number\ndata: piece$number\n\n"

    private fun chunk(text: String) = "${text.length.toString(radix = 16)}\r\n$text\r\n"

    private val head =
        "HTTP/1.1 200 OK\r\nAttempt-Id: ${RelayFixture.REQUEST_ID}\r\nServer-Stamp: s\r\n" +
            "Content-Type: text/event-stream\r\n"

    private val prompt = listOf("Model" to "m", "Token-Counts" to "300,20", "Prompt-Prefix" to "a1:100,b2:200")

    private fun callAnsweredWith(answer: String): RelayFixture.CallerResponse {
        val server = RawServer { write(answer) }.also(servers::add)
        relay.registerEngine("i-1", server.port)
        return runBlocking { relay.call("stream", headers = prompt, callerTimeoutMillis = 1_000) }
    }

    @Test
    fun `no stream goes on with events before its last one`() {
        val events = listOf(1, 2, 3, 2, 3).joinToString("") { chunk(event(it)) }
        val answer = "${head}Transfer-Encoding: chunked\r\n\r\n${events}0\r\n\r\n"
        val response = callAnsweredWith(answer)
        expectThat(response.status == 200 && response.complete).isFalse()
    }
}
