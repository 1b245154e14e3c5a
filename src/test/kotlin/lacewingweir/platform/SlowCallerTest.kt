package lacewingweir.platform

import lacewingweir.testing.smallWindowSocket
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.startsWith
import java.io.IOException
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList

/** Callers of a relay that send or read slowly, or not at all. */
@Timeout(40)
internal class SlowCallerTest {
    private val relay = RelayFixture(routeTimeoutMillis = 10_000).also { it.configure("k1") }
    private val bodySizes = CopyOnWriteArrayList<Int>()
    private val plain =
        relay.endpoint("e1") {
            bodySizes += it.body.size
            it.respond(200, RelayFixture.responseHeaders, ByteArray(RESPONSE_BYTES))
        }

    @AfterEach
    fun close() = relay.close()

    private fun connect() = smallWindowSocket(relay.callerPort, READ_TIMEOUT_MILLIS)

    private fun Socket.send(text: String) = getOutputStream().write(text.encodeToByteArray())

    private fun Socket.readAll(): String {
        val bytes = java.io.ByteArrayOutputStream()
        try {
            getInputStream().copyTo(bytes)
        } catch (_: IOException) {
            println("slow caller: the connection failed after ${bytes.size()} bytes")
        }
        return bytes.toString(Charsets.ISO_8859_1)
    }

    /** Guards against calls that fail because the responses of others use up the memory for all of them. */
    @Test
    fun `callers that do not read their responses keep none from others`() {
        val unread = (1..3).map { connect().apply { send(head(bodyBytes = 0)) } }
        Thread.sleep(SETTLE_MILLIS)
        repeat(2) {
            connect().use { socket ->
                socket.send(head(bodyBytes = 0))
                val response = socket.readAll()
                expectThat(response).startsWith("HTTP/1.1 200")
                expectThat(response.length).isGreaterThan(RESPONSE_BYTES)
            }
        }
        unread.forEach { it.close() }
    }

    /** Guards against endpoints that are occupied by requests that have not arrived yet. */
    @Test
    fun `an endpoint gets no request before its body has arrived`() {
        connect().use { socket ->
            socket.send(head(bodyBytes = 8))
            repeat(7) {
                socket.send("x")
                Thread.sleep(SETTLE_MILLIS / 7)
            }
            expectThat(plain.receivedRequests).hasSize(0)
            socket.send("x")
            expectThat(socket.readAll().length).isGreaterThan(RESPONSE_BYTES)
            expectThat(bodySizes.single()).isEqualTo(8)
        }
    }

    private companion object {
        const val RESPONSE_BYTES = 6_000_000
        const val READ_TIMEOUT_MILLIS = 5_000
        const val SETTLE_MILLIS = 700L

        fun head(bodyBytes: Int) =
            "POST /idempotent/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: ${RelayFixture.REQUEST_ID}\r\n" +
                "X-Api-Key: k1\r\nDeadline-Ms: 9000\r\nConnection: close\r\nContent-Length: $bodyBytes\r\n\r\n"
    }
}
