package lacewingweir.transport.gateway

import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import lacewingweir.state.bundle.ClaimOutagePolicy
import lacewingweir.state.bundle.Endpoint
import lacewingweir.state.bundle.Route
import lacewingweir.state.bundle.TrafficClass
import lacewingweir.state.id.RouteId
import lacewingweir.transport.http.readAll
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import strikt.assertions.startsWith

internal class ServiceCallTest {
    private val fixture = GatewayFixture()

    @AfterEach
    fun tearDown() = fixture.close()

    private fun route(
        path: String,
        endpoints: List<Endpoint>,
        open: Boolean = false,
        repeatable: Boolean = true,
        claimOutage: ClaimOutagePolicy = ClaimOutagePolicy.REFUSE,
    ): Route =
        Route(
            id = RouteId(path),
            trafficClass = TrafficClass.INTERACTIVE,
            path = path,
            services = endpoints.map { it.id },
            open = open,
            repeatable = repeatable,
            claimOutage = claimOutage,
            deadlineMillis = 2_000,
        )

    private fun useServiceRoute(
        vararg endpoints: Endpoint,
        open: Boolean = false,
        repeatable: Boolean = true,
        claimOutage: ClaimOutagePolicy = ClaimOutagePolicy.REFUSE,
    ) {
        val list = endpoints.toList()
        fixture.useServices(route("lots", list, open, repeatable, claimOutage), endpoints = list)
    }

    private suspend fun bookingCall(headers: List<Pair<String, String>> = emptyList()) =
        fixture.call("POST", "/services/lots/7", "one", headers = headers)

    // Guards against an API key in any part of a request that reaches an endpoint.
    @Test
    fun `no API key of a caller reaches a service`() =
        runBlocking<Unit> {
            FakeService("s1", fixture).use { service ->
                useServiceRoute(service.endpoint, open = true)
                val path = "/services/lots/a%20b?x=1&api_key=${GatewayFixture.KEY}&%6bey=${GatewayFixture.KEY}&y=%41"
                val headers = listOf("x-api-key" to GatewayFixture.KEY, "Cookie" to GatewayFixture.KEY)
                val response = fixture.call("GET", path, headers = headers)
                expectThat(response.status).isEqualTo(200)
                expectThat(service.receivedRequests).hasSize(1)
                expectThat(service.receivedRequests.single()).startsWith("GET /lots/a%20b?x=1&y=%41 ")
                expectThat(GatewayFixture.KEY in service.receivedRequests.single()).isEqualTo(false)
                val inBody = fixture.call("POST", "/services/lots", "the key is ${GatewayFixture.KEY}")
                expectThat(inBody.status).isEqualTo(400)
                expectThat(service.receivedRequests).hasSize(1)
            }
        }

    @Test
    fun `an open route requires no key and other routes do`() =
        runBlocking<Unit> {
            FakeService("s1", fixture).use { service ->
                useServiceRoute(service.endpoint, open = true)
                expectThat(fixture.call("GET", "/services/lots", key = null).status).isEqualTo(200)
                useServiceRoute(service.endpoint)
                expectThat(fixture.call("GET", "/services/lots", key = null).status).isEqualTo(401)
                expectThat(fixture.call("GET", "/services/lots").status).isEqualTo(200)
                expectThat(service.receivedRequests.last()).contains("X-Customer=alpha")
                expectThat(fixture.call("GET", "/services/lotsx").status).isEqualTo(404)
                expectThat(fixture.call("GET", "/services/lots/%2e%2e/admin").status).isEqualTo(400)
                expectThat(fixture.call("GET", "/services/lots/..%2fadmin").status).isEqualTo(400)
            }
        }

    @Test
    fun `a repeatable call is retried once on another endpoint`() =
        runBlocking<Unit> {
            SilentService("s1").use { silentService ->
                FakeService("s2", fixture).use { service ->
                    useServiceRoute(silentService.endpoint, service.endpoint)
                    repeat(6) { expectThat(fixture.call("GET", "/services/lots").status).isEqualTo(200) }
                    expectThat(service.receivedRequests).hasSize(6)
                }
                SilentService("s3").use { otherSilentService ->
                    useServiceRoute(silentService.endpoint, otherSilentService.endpoint)
                    val response = fixture.call("GET", "/services/lots")
                    expectThat(response.status).isEqualTo(503)
                    expectThat(response.headers.get("X-Lacewingweir-Run")).isEqualTo("unknown")
                    expectThat(response.headers.get("Retry-After")).isEqualTo("1")
                }
            }
        }

    // Guards against a call with side effects, such as a booking, that runs twice.
    @Test
    fun `a non-repeatable call is never sent twice`() =
        runBlocking<Unit> {
            SilentService("s1").use { first ->
                SilentService("s2").use { second ->
                    useServiceRoute(first.endpoint, second.endpoint, repeatable = false)
                    val response = bookingCall()
                    expectThat(response.status).isEqualTo(503)
                    expectThat(response.headers.get("X-Lacewingweir-Run")).isEqualTo("unknown")
                    expectThat(first.connections.get() + second.connections.get()).isEqualTo(1)
                }
            }
        }

    // Guards against a request that ran but is reported as not run.
    @Test
    fun `not-run is reported only if nothing was sent or the endpoint reported it`() =
        runBlocking<Unit> {
            useServiceRoute(serviceEndpoint("s1", closedPort()), repeatable = false)
            val notSent = bookingCall()
            expectThat(notSent.status).isEqualTo(503)
            expectThat(notSent.headers.get("X-Lacewingweir-Run")).isEqualTo("not-run")
            FakeService("s2", fixture) { it.respond(503, listOf("X-Run" to "not-run")) }.use { service ->
                useServiceRoute(service.endpoint, repeatable = false)
                expectThat(bookingCall().headers.get("X-Lacewingweir-Run")).isEqualTo("not-run")
            }
            FakeService("s3", fixture) { it.respond(500) }.use { service ->
                useServiceRoute(service.endpoint, repeatable = false)
                expectThat(bookingCall().headers.get("X-Lacewingweir-Run")).isEqualTo("unknown")
            }
            FakeService("s4", fixture).use { service ->
                useServiceRoute(service.endpoint, repeatable = false)
                expectThat(bookingCall().headers.get("X-Lacewingweir-Run")).isEqualTo("run")
            }
        }

    // Guards against a call that runs again when it is repeated with the same idempotency key.
    @Test
    fun `a repeat with the same idempotency key receives the stored outcome`() =
        runBlocking<Unit> {
            FakeService("s1", fixture) { it.respond(201, body = "booked".encodeToByteArray()) }.use { service ->
                useServiceRoute(service.endpoint, repeatable = false)
                val key = listOf("Idempotency-Key" to "k1")
                repeat(3) {
                    val response = bookingCall(key)
                    expectThat(response.status).isEqualTo(201)
                    expectThat(response.text()).isEqualTo("booked")
                    delay(50)
                }
                expectThat(service.receivedRequests).hasSize(1)
                expectThat(fixture.call("POST", "/services/lots/7", "two", headers = key).status).isEqualTo(400)
                fixture.claims.unavailable = true
                val refused = bookingCall(listOf("Idempotency-Key" to "k2"))
                expectThat(refused.status).isEqualTo(503)
                expectThat(refused.headers.get("X-Lacewingweir-Run")).isEqualTo("not-run")
                useServiceRoute(service.endpoint, repeatable = false, claimOutage = ClaimOutagePolicy.RUN_WITHOUT_CLAIM)
                expectThat(bookingCall(listOf("Idempotency-Key" to "k3")).status).isEqualTo(201)
            }
        }

    @Test
    fun `a repeat of a claimed call with an unknown outcome is refused with 409 and not sent`() =
        runBlocking<Unit> {
            SilentService("s1").use { service ->
                useServiceRoute(service.endpoint, repeatable = false)
                val key = listOf("Idempotency-Key" to "k1")
                expectThat(bookingCall(key).headers.get("X-Lacewingweir-Run")).isEqualTo("unknown")
                val repeat = bookingCall(key)
                expectThat(repeat.status).isEqualTo(409)
                expectThat(repeat.headers.get("X-Lacewingweir-Run")).isEqualTo("unknown")
                expectThat(service.connections.get()).isEqualTo(1)
                useServiceRoute(serviceEndpoint("s2", closedPort()), repeatable = false)
                val newKey = listOf("Idempotency-Key" to "k2")
                repeat(2) {
                    expectThat(bookingCall(newKey).headers.get("X-Lacewingweir-Run")).isEqualTo("not-run")
                    delay(50)
                }
            }
        }

    // Guards against losing the outcome of a call whose caller disconnected; a repeat must receive it.
    @Test
    fun `a claimed call continues when its caller disconnects`() =
        runBlocking<Unit> {
            FakeService("s1", fixture) {
                delay(400)
                it.respond(201, body = "booked".encodeToByteArray())
            }.use { service ->
                useServiceRoute(service.endpoint, repeatable = false)
                val key = listOf("Idempotency-Key" to "k1")
                expectThat(withTimeoutOrNull(150) { bookingCall(key) }).isNull()
                delay(600)
                expectThat(bookingCall(key).text()).isEqualTo("booked")
                expectThat(service.receivedRequests).hasSize(1)
                val stopped = async { bookingCall(listOf("Idempotency-Key" to "k2")) }
                fixture.eventually { service.receivedRequests.size == 2 }
                fixture.keys.withdraw(GatewayFixture.KEY)
                expectThat(stopped.await().status).isEqualTo(401)
                expectThat(stopped.await().headers.get("X-Lacewingweir-Run")).isEqualTo("unknown")
                expectThat(service.receivedRequests).hasSize(2)
            }
        }

    // Guards against an incomplete response that appears to be complete.
    @Test
    fun `an incomplete response closes the caller's connection`() =
        runBlocking<Unit> {
            FakeService("s1", fixture) {
                it.startStream(200)
                it.write("half".encodeToByteArray())
                delay(50)
                it.abort()
            }.use { service ->
                useServiceRoute(service.endpoint)
                expectThat(fixture.call("GET", "/services/lots").readAll(1000)).isNull()
                expectThat(service.receivedRequests.filter { "Authorization" in it }).isEmpty()
            }
        }
}
