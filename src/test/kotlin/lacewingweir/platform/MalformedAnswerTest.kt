package lacewingweir.platform

import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isIn
import java.util.concurrent.atomic.AtomicInteger

/**
 * Guards against malformed responses of endpoints that reach callers as answers: statuses such as 000, and heads with a
 * field name that holds a blank or a control byte. Such a call may have run, so it is repeated only where its route
 * allows that, and no booking is sent twice.
 */
@Timeout(30)
internal class MalformedAnswerTest {
    private val servers = ArrayList<RawServer>()
    private val received = AtomicInteger()

    @AfterEach
    fun close() = servers.forEach { it.close() }

    /** Sends a call to a service whose endpoints all respond with [response], in which `ID` stands for its id. */
    private fun call(
        kind: String,
        response: String,
    ): RelayFixture.CallerResponse =
        RelayFixture(repeatExtra = 100_000.0).use { relay ->
            relay.configure("k1")
            repeat(2) { i ->
                val server =
                    RawServer { request ->
                        received.incrementAndGet()
                        write(response.replace("ID", request.id))
                        close()
                    }
                servers += server
                val register = if (kind == "stream") relay::registerEngine else relay::registerPlain
                register("i-$i", server.port)
            }
            val prompt = listOf("Model" to "m", "Token-Counts" to "300,20", "Prompt-Prefix" to "part:300")
            runBlocking { relay.call(kind, headers = if (kind == "stream") prompt else emptyList()) }
        }

    private fun response(
        statusLine: String,
        fields: String = NAMED,
    ) = "$statusLine\r\n${fields}Content-Length: ${EVENTS.length}\r\n\r\n$EVENTS"

    /** Expects that the caller gets 502 and nothing of [response], and that only a call that may be is repeated. */
    private fun expectBadGateway(
        kind: String,
        response: String,
    ) {
        received.set(0)
        val answer = call(kind, response)
        expectThat(answer.status).isEqualTo(BAD_GATEWAY)
        expectThat(answer.body.contains("event-of-server")).isFalse()
        expectThat(received.get()).isIn(if (kind == "non_idempotent") 1..1 else 1..2)
    }

    @ParameterizedTest
    @ValueSource(strings = ["idempotent", "non_idempotent", "stream"])
    fun `no caller gets an answer with status 000`(kind: String) {
        expectBadGateway(kind, response("HTTP/1.1 000 None"))
        expectBadGateway(kind, response("HTTP/1.1 000 None", "${NAMED}Content-Type: text/event-stream\r\n"))
        expectBadGateway(kind, "HTTP/1.1 000 None\r\n$NAMED\r\n$EVENTS")
    }

    @ParameterizedTest
    @ValueSource(strings = ["HTTP/1.1 099 x", "HTTP/1.1 99 x", "HTTP/1.1 600 x", "HTTP/1.1 2000 x", "HTTP/7.3 200 OK"])
    fun `no caller gets an answer with an invalid status line`(statusLine: String) {
        expectBadGateway("idempotent", response(statusLine))
        expectBadGateway("non_idempotent", response(statusLine))
    }

    @ParameterizedTest
    @ValueSource(strings = ["X Field", "X\tField", "X-Field ", "X-Field\t", " X-Field", "X\u0001Field", "X\u0000Field"])
    fun `no caller gets an answer with a blank or a control byte in the name of a field`(name: String) {
        for (kind in listOf("idempotent", "non_idempotent", "stream")) {
            expectBadGateway(kind, response("HTTP/1.1 200 OK", "$NAMED$name: value\r\n"))
            expectBadGateway(kind, response("HTTP/1.1 500 Error", "$NAMED$name: value\r\n"))
        }
    }

    @ParameterizedTest
    @ValueSource(
        strings = ["Content-Length x: 5", "Content-Length : 5", "Content-Encoding x: gzip", " Content-Length: 5"],
    )
    fun `no caller gets a part of a body because of a blank in the name of a field`(field: String) {
        expectBadGateway("idempotent", "HTTP/1.1 200 OK\r\n$NAMED$field\r\n\r\n$EVENTS")
        expectBadGateway("non_idempotent", "HTTP/1.1 200 OK\r\n$NAMED$field\r\n\r\n$EVENTS")
    }

    @ParameterizedTest
    @ValueSource(strings = ["Attempt-Id x: ID\r\nServer-Stamp: s\r\n", "Attempt-Id: ID\r\nServer-Stamp : s\r\n"])
    fun `no caller gets an answer that names its request in a malformed field`(fields: String) =
        expectBadGateway("non_idempotent", response("HTTP/1.1 200 OK", fields))

    /** A refusal proves that the call was not executed, so a malformed one must not lead to a second send. */
    @ParameterizedTest
    @ValueSource(strings = ["HTTP/1.1 503 Busy\r\nNot-Executed : 1", "HTTP/1.1 600 Busy\r\nNot-Executed: 1"])
    fun `no booking is sent again after a malformed refusal`(head: String) =
        expectBadGateway("non_idempotent", "$head\r\n${NAMED}Content-Length: 0\r\n\r\n")

    @Test
    fun `a call that may be repeated is answered by a sound endpoint`() {
        val sends = RawServer.Sends()
        val sound = response("HTTP/1.1 200 OK")
        RelayFixture(repeatExtra = 100_000.0).use { relay ->
            relay.configure("k1")
            repeat(2) { i ->
                val server =
                    RawServer(sends = sends) { request ->
                        val malformed = request.send == 1
                        write((if (malformed) response("HTTP/1.1 000 None") else sound).replace("ID", request.id))
                    }
                servers += server
                relay.registerPlain("i-$i", server.port)
            }
            val answer = runBlocking { relay.call("idempotent") }
            expectThat(answer.status to answer.body).isEqualTo(200 to EVENTS)
        }
    }

    private companion object {
        const val BAD_GATEWAY = 502
        const val NAMED = "Attempt-Id: ID\r\nServer-Stamp: s\r\n"
        const val EVENTS = "id: 1\ndata: event-of-server\n\n"
    }
}
