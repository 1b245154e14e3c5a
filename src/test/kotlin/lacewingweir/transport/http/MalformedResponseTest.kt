package lacewingweir.transport.http

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.coroutines.runBlocking
import lacewingweir.testing.SocketServer
import lacewingweir.testing.write
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNotNull
import strikt.assertions.isNull

/**
 * Guards against malformed responses that pass for answers: a status, a version, the name of a field or the framing of
 * a body that RFC 9110 and RFC 9112 don't allow.
 */
@Timeout(20)
internal class MalformedResponseTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val client = HttpClient(group)
    private val servers = ArrayList<SocketServer>()

    @AfterEach
    fun tearDown() {
        client.close()
        servers.forEach { it.close() }
        group.shutdownGracefully()
    }

    /** Opens a request to a server that sends [response], and closes the connection then if it [closes]. */
    private suspend fun open(
        response: String,
        closes: Boolean = true,
    ): ClientResult {
        val server =
            SocketServer {
                it.write(response)
                if (closes) it.close()
            }
        servers += server
        return client.open(ClientRequest("127.0.0.1", server.port, "GET", "/", headTimeoutMillis = TIMEOUT_MILLIS))
    }

    /** Expects that [response] is rejected at once, whether the connection is closed behind it or not. */
    private fun expectNoAnswer(response: String): Unit =
        runBlocking {
            for (closes in listOf(true, false)) {
                expectThat(open(response, closes)).isA<ClientResult.Unknown>().get { timedOut }.isFalse()
            }
        }

    @Test
    fun `malformed responses are counted by their defects`() {
        expectNoAnswer("HTTP/1.1 000 None\r\n\r\n")
        expectNoAnswer("HTTP/7.3 200 OK\r\n\r\n")
        expectNoAnswer("HTTP/1.1 200 OK\r\nX Field: v\r\n\r\n")
        expectNoAnswer("HTTP/1.1 200 OK\r\nX-Field: v\r\n folded\r\n\r\n")
        expectNoAnswer("HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n")
        expectNoAnswer("HTTP/1.1 200 OK\r\nX-Field: HTTP/1.1 500 Error\r\n\r\n")
        expectNoAnswer("HTTP/1.1 200 OK\r\nX-Field: \u0000\r\n\r\n")
        runBlocking { open("HTTP/1.1 200 OK\r\nX-Fie") }
        val counts =
            mapOf(
                ResponseDefect.STATUS to 2L,
                ResponseDefect.VERSION to 2L,
                ResponseDefect.FIELD_NAME to 2L,
                ResponseDefect.LINE_FOLDING to 2L,
                ResponseDefect.TRANSFER_CODING to 2L,
                ResponseDefect.HEAD_IN_HEAD to 2L,
                ResponseDefect.OTHER to 2L,
                ResponseDefect.INCOMPLETE_HEAD to 1L,
            )
        expectThat(client.malformedResponses).isEqualTo(counts)
    }

    @ParameterizedTest
    @ValueSource(strings = ["000 None", "200 OK\r\nX Field: v", "200 OK\r\nX-Field: v\r\n folded", "200 OK\r\n X: v"])
    fun `a malformed head that arrives in two parts is no answer`(start: String) {
        val response = "HTTP/1.1 $start\r\nContent-Length: 5\r\n\r\nwhole"
        for (firstBytes in 1 until response.length) {
            val server =
                SocketServer { socket ->
                    socket.write(response.take(firstBytes))
                    Thread.sleep(2)
                    socket.write(response.drop(firstBytes))
                }
            servers += server
            val request = ClientRequest("127.0.0.1", server.port, "GET", "/", headTimeoutMillis = TIMEOUT_MILLIS)
            expectThat(runBlocking { client.open(request) }).isA<ClientResult.Unknown>().get { timedOut }.isFalse()
        }
    }

    private fun expectIncomplete(response: String): Unit =
        runBlocking {
            val result = open(response)
            if (result is ClientResult.Answered) expectThat(result.response.readAll(100_000, TIMEOUT_MILLIS)).isNull()
        }

    private fun body(response: String): String? =
        runBlocking { (open(response) as ClientResult.Answered).response.readAll(100_000, TIMEOUT_MILLIS) }
            ?.decodeToString()

    @ParameterizedTest
    @ValueSource(strings = ["000", "0", "00", "99", "099", "20", "600", "999", "1000", "2000", "0200", "+200", "2x0"])
    fun `a status that is not three digits from 100 to 599 is no answer`(status: String) {
        expectNoAnswer("HTTP/1.1 $status OK\r\nContent-Length: 5\r\n\r\nwhole")
        expectNoAnswer("HTTP/1.1 $status OK\r\n\r\nwhole")
    }

    @ParameterizedTest
    @ValueSource(strings = ["-200", "200OK", "2 00", "200\u0000", "0xC8", ""])
    fun `a status that is no number is no answer`(status: String) =
        expectNoAnswer("HTTP/1.1 $status OK\r\nContent-Length: 5\r\n\r\nwhole")

    @ParameterizedTest
    @ValueSource(
        strings = ["HTTP/2.0", "HTTP/7.3", "HTTP/11", "HTTP/1.10", "HTTP/1", "HTTP/1.", "http/1.1", "HTCP/1.1", "ICY"],
    )
    fun `a version other than HTTP 1 is no answer`(version: String) =
        expectNoAnswer("$version 200 OK\r\nContent-Length: 5\r\n\r\nwhole")

    @ParameterizedTest
    @ValueSource(
        strings = [
            "X Field", "X\tField", "X-Field ", "X-Field\t", "Content-Type x", "Transfer-Encoding x", "X\u0000Field",
            "X\u0001Field", "X\u000bField", "X\u007fField", "X\u0080Field", "X\rField", "X(Field", "X/Field", "",
            "no colon\r\nX-Field", "no-colon\r\nX-Field",
        ],
    )
    fun `a field name that is no token is no answer`(name: String) {
        expectNoAnswer("HTTP/1.1 200 OK\r\n$name: value\r\nContent-Length: 5\r\n\r\nwhole")
        expectNoAnswer("HTTP/1.1 500 Error\r\nContent-Length: 5\r\n$name: value\r\n\r\nwhole")
        expectNoAnswer("HTTP/1.1 200 OK\r\n$name: value\r\n\r\nwhole")
    }

    @ParameterizedTest
    @ValueSource(strings = ["Content-Length x", "Content-Length ", "Content-Length\t", " Content-Length"])
    fun `a length whose field name holds a blank is no answer`(name: String) =
        expectNoAnswer("HTTP/1.1 200 OK\r\n$name: 5\r\n\r\nwhole and more")

    @ParameterizedTest
    @ValueSource(strings = [" X-Field: value", "\tX-Field: value", " Content-Length: 5", " folded"])
    fun `a line of a head that begins with a blank is no answer`(line: String) {
        expectNoAnswer("HTTP/1.1 200 OK\r\n$line\r\nContent-Length: 5\r\n\r\nwhole")
        expectNoAnswer("HTTP/1.1 200 OK\r\nX-Other: value\r\n$line\r\nContent-Length: 5\r\n\r\nwhole")
        expectNoAnswer("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n$line\r\n\r\nwhole")
    }

    @ParameterizedTest
    @ValueSource(
        strings = ["HTTP/1.1 000 None", "HTTP/1.1 099 None", "HTTP/1.1 102 OK\r\nX Field: v", "HTTP/3.1 102 OK"],
    )
    fun `nothing behind a malformed interim response is an answer`(interim: String) =
        expectNoAnswer("$interim\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole")

    @ParameterizedTest
    @ValueSource(strings = ["X Field: v", "X-Field : v", "X\u0001Field: v", "no colon"])
    fun `a body with a malformed trailer is incomplete`(trailer: String) =
        expectIncomplete("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n$trailer\r\n\r\n")

    @ParameterizedTest
    @ValueSource(strings = ["5 x", "5 5", "5x", "-5", "+5", "0x5", " 5", "5\u00005", "5,5", "", "5\tx", "5\u000b"])
    fun `a body with a malformed chunk size is incomplete`(size: String) =
        expectIncomplete("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n$size\r\nwhole\r\n0\r\n\r\n")

    @ParameterizedTest
    @ValueSource(strings = ["x\r\n", "", "\n", "\r", "\rx", "\r\r\n"])
    fun `a body whose chunk has no end is incomplete`(end: String) =
        expectIncomplete("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole${end}0\r\n\r\n")

    @ParameterizedTest
    @ValueSource(strings = ["", "0", "0\r\n", "0\r\nA: b\r\n", "5\r\nmor"])
    fun `a body without a last chunk is incomplete`(rest: String) =
        expectIncomplete("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n$rest")

    @ParameterizedTest
    @ValueSource(
        strings = [
            "gzip, chunked", "chunked, gzip", "chunked, chunked", "chunked\r\nTransfer-Encoding: chunked", "gzip",
            "identity", "xchunked", "chunked;q=1", "",
        ],
    )
    fun `a transfer coding that was not asked for is no answer`(coding: String) =
        expectNoAnswer("HTTP/1.1 200 OK\r\nTransfer-Encoding: $coding\r\n\r\n5\r\nwhole\r\n0\r\n\r\n")

    @ParameterizedTest
    @ValueSource(
        strings = ["-5", "+5", "5x", "5 5", "0x5", "5,6", "5, 6", "", "99999999999999999999", "5\r\nContent-Length: 6"],
    )
    fun `a length that is no number is no answer`(length: String) =
        expectNoAnswer("HTTP/1.1 200 OK\r\nContent-Length: $length\r\n\r\nwhole and more")

    @ParameterizedTest
    @ValueSource(
        strings = [
            "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n",
            "HTTP/1.1 101 Switching Protocols\r\nUpgrade: other\r\nConnection: Upgrade\r\n",
        ],
    )
    fun `a head with contradictory framing is no answer`(head: String) =
        expectNoAnswer("$head\r\n5\r\nwhole\r\n0\r\n\r\n")

    @ParameterizedTest
    @ValueSource(
        strings = [
            "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 \r\n", "HTTP/1.1 200\r\n", "HTTP/1.0 200 OK\r\n", "HTTP/1.2 599 x\r\n",
            "HTTP/1.1 299 OK\r\n!#$%&'*+-.^_`|~09azAZ: v\r\n", "HTTP/1.1 200 OK\r\nX-Empty:\r\n",
            "HTTP/1.1 404 \u00e9\r\nX-Field:\tv \u00e9 \t\r\n",
        ],
    )
    fun `an unusual but valid head is an answer`(head: String) {
        expectThat(body("${head}Content-Length: 5\r\n\r\nwhole")).isNotNull().isEqualTo("whole")
        expectThat(body("$head\r\nwhole")).isNotNull().isEqualTo("whole")
    }

    @ParameterizedTest
    @ValueSource(strings = ["5", "05", "5;a=b", "5 ;a=b", "5;a", "5;a=\"b c\""])
    fun `an unusual but valid chunk size is read`(size: String) {
        val chunks = "$size\r\nwhole\r\n0\r\nX-Trailer: v\r\n\r\n"
        expectThat(body("HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n$chunks")).isEqualTo("whole")
    }

    private companion object {
        const val TIMEOUT_MILLIS = 2_000L
    }
}
