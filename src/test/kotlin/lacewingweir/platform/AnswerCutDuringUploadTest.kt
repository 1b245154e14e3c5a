package lacewingweir.platform

import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Timeout
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isIn
import java.util.concurrent.atomic.AtomicInteger

/**
 * Guards against part of an answer that reaches a caller as a complete one, because the endpoint sent it without a
 * length and broke the connection while a long request was still being written to it.
 */
@Timeout(30)
internal class AnswerCutDuringUploadTest {
    private val received = AtomicInteger()
    private val servers = ArrayList<RawServer>()

    @AfterEach
    fun close() = servers.forEach { it.close() }

    /** How an endpoint breaks the connection behind the part of its answer. */
    enum class Cut(
        val end: RawServer.Connection.() -> Unit,
    ) {
        RESET_AT_ONCE(RawServer.Connection::reset),
        RESET_LATER({
            Thread.sleep(20)
            reset()
        }),
        CLOSE_WITH_UNREAD_BYTES(RawServer.Connection::close),
    }

    /** An endpoint that answers short requests, and breaks off its answers to long ones. */
    private fun server(
        head: String,
        cut: Cut,
    ) = RawServer(
        onHead = { request ->
            if (request.headers.getValue("content-length").toInt() == UPLOAD_BYTES) {
                received.incrementAndGet()
                write("$head\r\nAttempt-Id: ${request.id}\r\nServer-Stamp: s\r\n\r\npart of an answer")
                cut.end(this)
            }
        },
        onRequest = { request ->
            write("HTTP/1.1 200 OK\r\nAttempt-Id: ${request.id}\r\nServer-Stamp: s\r\nContent-Length: 5\r\n\r\nwhole")
        },
    ).also { servers += it }

    private fun play(
        kind: String,
        head: String,
        cut: Cut,
    ) = RelayFixture(repeatExtra = 100_000.0).use { relay ->
        relay.configure("k1")
        repeat(2) { relay.registerPlain("i-$it", server(head, cut).port) }
        relay.limits = relay.limits.copy(maxKeyProofAgeMillis = Long.MAX_VALUE)
        repeat(CALLS) {
            // Leaves a connection behind that is used again where the route allows that.
            val first = runBlocking { relay.call(kind, id = "%016x".format(2 * it + 1)) }
            expectThat(first.status to first.body).isEqualTo(200 to "whole")
            received.set(0)
            val upload = runBlocking { relay.call(kind, id = "%016x".format(2 * it + 2), body = UPLOAD) }
            expectThat(upload.status).isEqualTo(BAD_GATEWAY)
            expectThat(received.get()).isIn(if (kind == "non_idempotent") 1..1 else 1..2)
        }
    }

    @ParameterizedTest
    @EnumSource
    fun `no look-up gets part of an answer as a complete one`(cut: Cut) {
        play("idempotent", "HTTP/1.1 200 OK", cut)
        play("idempotent", "HTTP/1.1 200 OK\r\nConnection: close", cut)
    }

    @ParameterizedTest
    @EnumSource
    fun `no booking gets part of an answer as a complete one`(cut: Cut) {
        play("non_idempotent", "HTTP/1.1 200 OK", cut)
        play("non_idempotent", "HTTP/1.1 200 OK\r\nConnection: close", cut)
    }

    private companion object {
        const val BAD_GATEWAY = 502
        const val CALLS = 10
        const val UPLOAD_BYTES = 3_500_000
        val UPLOAD = "u".repeat(UPLOAD_BYTES)
    }
}
