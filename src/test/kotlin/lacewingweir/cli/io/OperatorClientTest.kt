package lacewingweir.cli.io

import lacewingweir.protocol.settings.HostPort
import lacewingweir.testing.SocketServer
import lacewingweir.testing.write
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import java.net.ServerSocket

/** Guards against commands that take malformed or lost answers for those of an instance. */
@Timeout(20)
internal class OperatorClientTest {
    private fun call(response: String): OperatorCallResult =
        SocketServer {
            it.write(response)
            it.close()
        }.use { OperatorClient().call(HostPort("127.0.0.1", it.port), "/fleet") }

    @ParameterizedTest
    @ValueSource(
        strings = [
            "HTTP/1.1 000 None", "HTTP/1.1 099 x", "HTTP/1.1 600 x", "HTTP/1.1 2000 x", "HTTP/7.3 200 OK",
            "HTTP/1.1 200 OK\r\nX Field: v", "HTTP/1.1 200 OK\r\nX-Field : v", "HTTP/1.1 200 OK\r\nX\u0001Field: v",
            "HTTP/1.1 200 OK\r\nX-Field: v\r\n folded", "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip",
        ],
    )
    fun `a command takes no malformed response for the answer of an instance`(head: String) {
        expectThat(call("$head\r\nContent-Length: 2\r\n\r\n{}")).isA<OperatorCallResult.Unknown>()
        expectThat(call("$head\r\n\r\n{}")).isA<OperatorCallResult.Unknown>()
    }

    @Test
    fun `answers, lost answers and refused connections are told apart`() {
        expectThat(call("HTTP/1.1 503 Busy\r\nContent-Length: 2\r\n\r\n{}"))
            .isEqualTo(OperatorCallResult.Answered(503, "{}"))
        expectThat(call("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{}")).isA<OperatorCallResult.Unknown>()
        val closedPort = ServerSocket(0).use { it.localPort }
        expectThat(OperatorClient().call(HostPort("127.0.0.1", closedPort), "/fleet"))
            .isA<OperatorCallResult.Unreachable>()
    }
}
