package lacewingweir.platform

import kotlinx.coroutines.runBlocking
import lacewingweir.state.bundle.Route
import lacewingweir.state.bundle.TrafficClass
import lacewingweir.state.id.RouteId
import lacewingweir.transport.gateway.GatewayFixture
import lacewingweir.transport.gateway.serviceEndpoint
import lacewingweir.transport.gateway.text
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Tag
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import java.util.concurrent.atomic.AtomicInteger

/**
 * Guards against extra responses of services and engines behind a gateway that pass for the answer to a later request
 * on the same connection.
 */
@Timeout(20)
internal class ForeignServiceAnswerTest {
    private val fixture = GatewayFixture()
    private val extras = AtomicInteger()
    private val servers = ArrayList<RawServer>()

    @AfterEach
    fun close() {
        servers.forEach { it.close() }
        fixture.close()
    }

    private fun response(
        body: String,
        status: String = "200 OK",
        headers: String = "",
    ) = "HTTP/1.1 $status\r\n${headers}Content-Length: ${body.length}\r\n\r\n$body"

    /** Answers each request with its path, behind a copy of the answer to the request before on its connection. */
    private fun copyingService(): RawServer {
        val answers = HashMap<RawServer.Connection, String>()
        return RawServer { request ->
            val answer = response("answer to ${request.path}")
            val copied = synchronized(answers) { answers.put(this, answer) }
            if (copied != null) extras.incrementAndGet()
            write(copied.orEmpty() + answer)
        }.also(servers::add)
    }

    private fun playLookUps(repeatable: Boolean) {
        val endpoint = serviceEndpoint("s1", copyingService().port)
        val route =
            Route(
                id = RouteId("lots"),
                trafficClass = TrafficClass.INTERACTIVE,
                path = "lots",
                services = listOf(endpoint.id),
                repeatable = repeatable,
                deadlineMillis = 2_000,
            )
        fixture.useServices(route, endpoints = listOf(endpoint))
        val foreign =
            runBlocking {
                (1..CALLS).count {
                    val answer = fixture.call("GET", "/services/lots/$it").text()
                    answer.startsWith("answer") && answer != "answer to /lots/$it"
                }
            }
        println("foreign answers: repeatable=$repeatable foreign=$foreign of=$CALLS extras=$extras")
        expectThat(foreign).isEqualTo(0)
    }

    @Test
    @Tag("known-red")
    fun `no look-up of a service gets the answer to another`() {
        playLookUps(repeatable = true)
        expectThat(extras.get()).isGreaterThan(0)
    }

    @Test
    fun `no booking of a service gets the answer to another`() = playLookUps(repeatable = false)

    /** An engine that refuses its first request, and begins to run the others behind a copy of that refusal. */
    @Test
    @Tag("known-red")
    fun `no request that an engine runs counts as refused`() {
        val begun = AtomicInteger()
        val refusal = response("", "503 Service Unavailable", "X-Run: not-run\r\n")
        val server =
            RawServer { request ->
                if (request.number > 1) {
                    begun.incrementAndGet()
                    extras.incrementAndGet()
                }
                write(refusal)
            }
        servers += server
        val others = fixture.engines[1]
        val endpoint = fixture.engines[0].endpoint.copy(port = server.port)
        fixture.scheduler.endpoints = { listOf(endpoint, others.endpoint) }
        runBlocking { repeat(2) { fixture.chat(GatewayFixture.BUFFERED_BODY).text() } }
        println("foreign refusals: begun=$begun extras=$extras sentToOther=${others.receivedRequests.size}")
        expectThat(extras.get()).isGreaterThan(0)
        // The second request may run at its first engine, so it isn't known not to.
        expectThat(fixture.scheduler.outcomes.count { it.name.startsWith("NOT") }).isEqualTo(1)
    }

    private companion object {
        const val CALLS = 20
    }
}
