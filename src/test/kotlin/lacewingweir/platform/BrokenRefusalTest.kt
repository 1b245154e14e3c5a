package lacewingweir.platform

import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Guards against bookings that run twice, because a refusal broke off and the server responded again behind it. */
@Timeout(20)
internal class BrokenRefusalTest {
    @Test
    fun `no booking is sent again after a refusal that broke off`() {
        val sends = RawServer.Sends()
        val answer = "HTTP/1.1 200 OK\r\nAttempt-Id: ID\r\nServer-Stamp: s\r\nContent-Length: 4\r\n\r\ndone"
        val refusal =
            "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: ID\r\nNot-Executed: 1\r\nContent-Length: 99\r\n\r\nfull"
        val servers =
            List(2) {
                RawServer(sends = sends) { request ->
                    write((if (request.send == 1) refusal + answer else answer).replace("ID", request.id))
                }
            }
        RelayFixture(repeatExtra = 100_000.0).use { relay ->
            relay.configure("k1")
            servers.forEachIndexed { i, server -> relay.registerPlain("i-$i", server.port) }
            runBlocking { relay.call("non_idempotent") }
        }
        servers.forEach { it.close() }
        expectThat(sends.repeated).isEqualTo(0)
    }
}
