package lacewingweir.platform

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.runBlocking
import lacewingweir.transport.http.ClientRequest
import lacewingweir.transport.http.ClientResult
import lacewingweir.transport.http.HttpClient
import lacewingweir.transport.http.readAll
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import strikt.api.expectThat
import strikt.assertions.isEmpty

/**
 * Guards against a response that passes for whole although it broke off and another one follows on its connection,
 * wherever it broke off.
 */
@Timeout(60)
internal class ResponseBrokenOffAnywhereTest {
    private val group = MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory())
    private val client = HttpClient(group)

    @AfterEach
    fun close() {
        client.close()
        group.shutdownGracefully()
    }

    private fun head(
        id: String?,
        status: String,
        framing: String,
    ) = "HTTP/1.1 $status\r\n" + id?.let { "Attempt-Id: $it\r\n" }.orEmpty() + "Server-Stamp: s\r\n$framing\r\n\r\n"

    private val withLength = head("a", "200 OK", "Content-Length: ${BODY.length}") + BODY
    private val inChunks =
        head("a", "200 OK", "Transfer-Encoding: chunked") +
            BODY.chunked(CHUNK_BYTES).joinToString("") { "${it.length.toString(radix = 16)}\r\n$it\r\n" } + "0\r\n\r\n"

    private fun failure(id: String?) =
        head(id, "500 Internal Server Error", "Content-Length: ${FAILURE.length}") + FAILURE

    private class Outcome(
        val status: Int,
        val body: String?,
    )

    private suspend fun call(port: Int): Outcome? {
        val request =
            ClientRequest(
                "127.0.0.1",
                port,
                "POST",
                "/",
                freshConnection = true,
                headTimeoutMillis = 300,
                id = "a",
                responseId = { it.get("Attempt-Id") },
            )
        val response = (client.open(request) as? ClientResult.Answered)?.response ?: return null
        return Outcome(response.status, response.readAll(1 shl 20, timeoutMillis = 300)?.decodeToString())
            .also { response.close() }
    }

    /** Returns what is taken for the body of [answer], for each place where it can break off unnoticed. */
    private fun play(
        answer: String,
        second: String,
        pauseMillis: Long,
        untold: Int?,
    ): List<String> =
        runBlocking {
            answer.indices
                .filter { answer.length - it != untold }
                .chunked(PARALLEL)
                .flatMap { part ->
                    part
                        .map { kept ->
                            async {
                                val server =
                                    RawServer {
                                        write(answer.take(kept))
                                        if (pauseMillis > 0) Thread.sleep(pauseMillis)
                                        write(second)
                                    }
                                server.use { kept to call(it.port) }
                            }
                        }.awaitAll()
                }.filter { (_, outcome) ->
                    outcome?.body != null && outcome.status == 200 && outcome.body != BODY
                }.map { (kept, outcome) -> "${answer.length - kept} bytes missing: ${outcome?.body}" }
        }

    /** Leaves out the place with [untold] bytes missing. */
    private fun expectNoneWrong(
        answer: String,
        second: String,
        untold: Int? = null,
    ) {
        for (pauseMillis in listOf(0L, 5L)) {
            val wrong = play(answer, second, pauseMillis, untold)
            println("pauseMs=$pauseMillis wrong=${wrong.size} of ${answer.length}: $wrong")
            expectThat(wrong).isEmpty()
        }
    }

    @Test
    fun `no body with a length ends with the beginning of a named response`() =
        expectNoneWrong(withLength, failure("a"))

    @Test
    fun `no body in chunks ends with the beginning of a named response`() = expectNoneWrong(inChunks, failure("a"))

    // A response that is exactly as long as what is missing leaves no trace.
    @Test
    fun `no body with a length is filled with a response without an id`() =
        expectNoneWrong(withLength, failure(null), untold = failure(null).length)

    @Test
    fun `no body in chunks is filled with a response without an id`() = expectNoneWrong(inChunks, failure(null))

    private companion object {
        const val CHUNK_BYTES = 60
        const val PARALLEL = 64
        val BODY = (1..10).joinToString(" ") { "part $it of the answer" }
        const val FAILURE = "a failure"
    }
}
