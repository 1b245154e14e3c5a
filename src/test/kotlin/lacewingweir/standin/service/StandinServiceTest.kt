package lacewingweir.standin.service

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.coroutines.runBlocking
import lacewingweir.standin.post
import lacewingweir.standin.stream
import lacewingweir.transport.http.ClientResult
import lacewingweir.transport.http.HttpClient
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isA
import strikt.assertions.isEqualTo

internal class StandinServiceTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val client = HttpClient(group)
    private val service = StandinService(StandinServiceOptions(capture = true)).start()

    @AfterEach
    fun tearDown() {
        client.close()
        service.close()
        group.shutdownGracefully()
    }

    // A refused call must not count as a run, and a run whose response is lost must count.
    @Test
    fun `runs are counted by key even if the response is lost`() =
        runBlocking<Unit> {
            val key = listOf("Idempotency-Key" to "k1", "X-Request-Id" to "r1")
            service.setFaults(StandinServiceFaults(refuse = true, times = 1))
            val refused = client.stream(service.port, "/lots/7?x=1", "{}", key).response
            expectThat(refused.status to refused.headers["X-Run"]).isEqualTo(503 to "not-run")
            service.setFaults(StandinServiceFaults(dropResponse = true, times = 1))
            expectThat(client.post(service.port, "/lots/7", "{}", key)).isA<ClientResult.Unknown>()
            service.setFaults(StandinServiceFaults(hang = true, times = 1))
            expectThat(client.post(service.port, "/lots/7", "{}", key, 100)).isA<ClientResult.Unknown>()
            expectThat(service.stats().runs).isEqualTo(mapOf("k1" to 1))
            expectThat(client.stream(service.port, "/lots/7", "{}", key).text).contains("\"run\":2")
            client.stream(service.port, "/lots/7", "{}", key.drop(1))
            expectThat(service.stats().runs).isEqualTo(mapOf("k1" to 2, "r1" to 1))
            expectThat(service.stats().captured.first()).contains("POST /lots/7?x=1").contains("Idempotency-Key: k1")
        }
}
