package lacewingweir.platform

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout

/**
 * Guards against successes whose body broke off, or has no end of its own, and was filled with the bytes of a second
 * response on the same connection.
 */
@Timeout(20)
internal class SecondResponseInBodyTest {
    private val servers = ArrayList<RawServer>()

    /** Every third call is answered twice. */
    private fun isAnsweredTwice(id: String) = id.toLong(radix = 16) % 3 == 0L

    private fun answerTo(id: String) = "answer to $id"

    private fun streamOf(id: String) = (1..3).joinToString("") { "id: $it\ndata: $id-$it\n\n" }

    @AfterEach
    fun close() = servers.forEach { it.close() }

    private fun head(
        id: String,
        length: Int?,
        status: String = "200 OK",
        headers: String = "",
    ): String {
        val framing = length?.let { "Content-Length: $it\r\n" }.orEmpty()
        return "HTTP/1.1 $status\r\nAttempt-Id: $id\r\nServer-Stamp: s\r\n$headers$framing\r\n"
    }

    private fun success(id: String) = answerTo(id).let { head(id, it.length) + it }

    private fun failure(id: String) = FAILURE.let { head(id, it.length, "500 Internal Server Error") + it }

    private fun stream(id: String) = streamOf(id).let { head(id, it.length, headers = EVENT_STREAM) + it }

    /** Calls that are answered twice count as failed, so a success for one of them is wrong. */
    private fun play(
        kind: String,
        served: (id: String) -> String,
        leastServedShare: Double = 1.0,
        server: () -> RawServer,
    ) = CallerPlay(
        kind,
        listOf(server().also(servers::add)),
        calls = 120,
        callerTimeoutMillis = 400,
        leastServedShare = leastServedShare,
    ).use { play ->
        play.run(::isAnsweredTwice, served, continues = kind == "stream")
    }

    private fun serverOf(
        answer: (id: String) -> String,
        twice: RawServer.Connection.(id: String) -> Unit,
    ) = RawServer { request -> if (isAnsweredTwice(request.id)) twice(request.id) else write(answer(request.id)) }

    /** Breaks off [answer] after its first [bytes], and writes [second] in its place. */
    private fun RawServer.Connection.writeBroken(
        answer: String,
        second: String,
    ) {
        val bodyStart = answer.indexOf("\r\n\r\n") + 4
        write(answer.take(bodyStart + KEPT_BYTES))
        Thread.sleep(LATE_MILLIS)
        write(second)
    }

    @Test
    fun `no body that broke off is filled with the failure behind it`() {
        for (kind in listOf("non_idempotent", "idempotent")) {
            play(kind, ::answerTo) { serverOf(::success) { writeBroken(success(it), failure(it)) } }
        }
    }

    @Test
    fun `no body that lacks its last bytes is filled with the first ones of the failure behind it`() {
        for (missing in 1..LONGEST_MISSING) {
            play("non_idempotent", ::answerTo) {
                serverOf(::success) { write(success(it).dropLast(missing) + failure(it)) }
            }
        }
    }

    @Test
    fun `no body that broke off is filled with a failure that names no request`() {
        play("non_idempotent", ::answerTo) {
            serverOf(::success) { write(head(it, LONG_BYTES) + answerTo(it) + UNNAMED_FAILURE) }
        }
    }

    @Test
    fun `no body that broke off is filled with a second success`() {
        play("non_idempotent", ::answerTo) { serverOf(::success) { writeBroken(success(it), success(it)) } }
    }

    @Test
    fun `no body without a length ends with a second response`() {
        play("non_idempotent", ::answerTo) {
            serverOf(::success) {
                write(head(it, length = null) + answerTo(it))
                Thread.sleep(LATE_MILLIS)
                write(success(it))
                close()
            }
        }
    }

    @Test
    fun `no stream that broke off goes on with a second response`() {
        // An engine whose streams break off gets no others for a moment.
        play("stream", ::streamOf, leastServedShare = 0.1) {
            serverOf(::stream) { writeBroken(stream(it), stream(it)) }
        }
    }

    @Test
    fun `no stream without a length ends with a second response`() {
        play("stream", ::streamOf, leastServedShare = 0.1) {
            serverOf(::stream) {
                write(head(it, length = null, headers = EVENT_STREAM) + streamOf(it))
                Thread.sleep(LATE_MILLIS)
                write(stream(it))
                close()
            }
        }
    }

    private companion object {
        const val FAILURE = "a failure with a body that is long enough to fill what is missing"
        const val EVENT_STREAM = "Content-Type: text/event-stream\r\n"
        const val UNNAMED_FAILURE =
            "HTTP/1.1 500 Internal Server Error\r\nServer-Stamp: s\r\nContent-Length: 70\r\n\r\n$FAILURE"
        const val LONG_BYTES = 110
        const val LONGEST_MISSING = 13
        const val KEPT_BYTES = 5
        const val LATE_MILLIS = 5L
    }
}
