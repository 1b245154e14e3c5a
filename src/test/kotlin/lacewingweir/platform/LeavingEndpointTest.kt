package lacewingweir.platform

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import lacewingweir.platform.RelayFixture.Companion.responseHeaders
import lacewingweir.transport.http.ServerExchange
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isNotEmpty
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.random.Random

/** Plays endpoints that say in their responses that they are about to leave. */
internal class LeavingEndpointTest {
    private val relay = RelayFixture().also { it.configure("k1") }
    private val leaving = responseHeaders + ("Server-Leaving" to "1")

    @AfterEach
    fun close() = relay.close()

    private val respondOk: suspend (ServerExchange) -> Unit = { it.respond(200, responseHeaders, BODY) }

    /** Sends calls until [endpoint] has received one. */
    private suspend fun callUntilReceived(endpoint: RelayFixture.Endpoint) {
        var calls = 0
        while (endpoint.receivedRequests.isEmpty() && calls++ < 100) relay.call("idempotent")
        expectThat(endpoint.receivedRequests).isNotEmpty()
    }

    /** Checks that [endpoint] receives none of the next calls. */
    private suspend fun expectUnused(endpoint: RelayFixture.Endpoint) {
        val before = endpoint.receivedRequests.size
        repeat(20) { relay.call("idempotent") }
        expectThat(endpoint.receivedRequests).hasSize(before)
    }

    /** Guards against calls that are cut off when the endpoint exits, before the store says that it leaves. */
    @Test
    fun `an endpoint that says it leaves gets no further calls`(): Unit =
        runBlocking {
            val endpoint = relay.endpoint("i-1") { it.respond(200, leaving, BODY) }
            relay.endpoint("i-2", handler = respondOk)
            callUntilReceived(endpoint)
            expectUnused(endpoint)
        }

    /** Guards against leaving endpoints that are noticed only in successful responses. */
    @Test
    fun `a failed or refused call says as well that its endpoint leaves`(): Unit =
        runBlocking {
            val statuses = listOf(500 to emptyList(), 404 to emptyList(), 503 to listOf("Not-Executed" to "1"))
            for ((status, headers) in statuses) {
                RelayFixture().use { fixture ->
                    fixture.configure("k1")
                    val endpoint = fixture.endpoint("i-1") { it.respond(status, leaving + headers, BODY) }
                    fixture.endpoint("i-2", handler = respondOk)
                    var calls = 0
                    while (endpoint.receivedRequests.isEmpty() && calls++ < 100) fixture.call("idempotent")
                    val before = endpoint.receivedRequests.size
                    repeat(20) { fixture.call("idempotent") }
                    expectThat(endpoint.receivedRequests).describedAs("after status $status").hasSize(before)
                }
            }
        }

    @Test
    fun `a call that only a leaving endpoint could serve is refused`(): Unit =
        runBlocking {
            val endpoint = relay.endpoint("i-1") { it.respond(200, leaving, BODY) }
            expectThat(relay.call("idempotent").status).isEqualTo(200)
            expectThat(relay.call("idempotent").status).isEqualTo(503)
            expectThat(endpoint.receivedRequests).hasSize(1)
        }

    /** Guards against an endpoint that is lost because an earlier process with its id left. */
    @Test
    fun `an endpoint that starts again under its id is used again`(): Unit =
        runBlocking {
            var headers = leaving
            val endpoint = relay.endpoint("i-1") { it.respond(200, headers, BODY) }
            relay.call("idempotent")
            expectThat(relay.call("idempotent").status).isEqualTo(503)
            headers = responseHeaders
            relay.register(endpoint, "plain", startedAtUnixMillis = 2_000)
            expectThat(relay.call("idempotent").status).isEqualTo(200)
        }

    /** Guards against a statement that is forgotten when the item expires during an outage of the store. */
    @Test
    fun `an endpoint stays leaving when its item is removed and written again`(): Unit =
        runBlocking {
            val endpoint = relay.endpoint("i-1") { it.respond(200, leaving, BODY) }
            relay.call("idempotent")
            relay.remove("servers/i-1")
            relay.register(endpoint, "plain")
            expectThat(relay.call("idempotent").status).isEqualTo(503)
        }

    /** The response comes from another endpoint, which has taken over the address. */
    @Test
    fun `a misdirected call says nothing about the endpoint that it was meant for`(): Unit =
        runBlocking {
            var headers = leaving + ("Not-Executed" to "1")
            var status = 421
            relay.endpoint("i-1") { it.respond(status, headers, BODY) }
            relay.call("idempotent")
            status = 200
            headers = responseHeaders
            expectThat(relay.call("idempotent").status).isEqualTo(200)
        }

    @Test
    fun `a malformed statement is ignored`(): Unit =
        runBlocking {
            relay.endpoint("i-1") { it.respond(200, responseHeaders + ("Server-Leaving" to "soon"), BODY) }
            repeat(3) { expectThat(relay.call("idempotent").status).isEqualTo(200) }
        }

    @Test
    fun `a small fleet sends no calls to a leaving engine while the store is down`() = playStoreOutage(instances = 8)

    @Test
    fun `a large fleet sends no calls to a leaving engine while the store is down`() = playStoreOutage(instances = 60)

    /** An engine leaves during an outage of the store, when its responses are all that instances learn of it. */
    private fun playStoreOutage(instances: Int): Unit =
        runBlocking {
            RouterFleet(instances, engines = 4).use { fleet ->
                fleet.start()
                fleet.store.down = true
                fleet.engines[0].leaving = true
                val start = StandinPromptEngine.nowMillis()
                val statuses = sendCalls(fleet, instances)
                val late = fleet.engines[0].arrivals.filter { it.atMillis > start + DRAIN_MILLIS }
                expectThat(late).describedAs("late calls").isEmpty()
                expectThat(statuses.count { it == 200 }.toDouble() / statuses.size).isGreaterThan(0.99)
            }
        }

    private suspend fun CoroutineScope.sendCalls(
        fleet: RouterFleet,
        instances: Int,
    ): List<Int> {
        val random = Random(1)
        val statuses = CopyOnWriteArrayList<Int>()
        (0 until CALLS)
            .map {
                delay(PERIOD_MILLIS)
                val parts = "sys${random.nextInt(2)}:100,doc${random.nextInt(40)}:100"
                launch { statuses += fleet.call(random.nextInt(instances), parts).status }
            }.joinAll()
        return statuses
    }

    private companion object {
        val BODY = "answer".encodeToByteArray()

        /** Less than the shortest time for which a key is accepted without contact to the store. */
        const val CALLS = 160
        const val PERIOD_MILLIS = 25L

        /** Time from the statement after which an endpoint must get no more calls. */
        const val DRAIN_MILLIS = 2_000L
    }
}
