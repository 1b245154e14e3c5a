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
    private val fleet = GatewayFixture()

    @AfterEach
    fun tearDown() = fleet.close()

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

    private fun use(
        vararg endpoints: Endpoint,
        open: Boolean = false,
        repeatable: Boolean = true,
        claimOutage: ClaimOutagePolicy = ClaimOutagePolicy.REFUSE,
    ) {
        val list = endpoints.toList()
        fleet.useServices(route("lots", list, open, repeatable, claimOutage), endpoints = list)
    }

    private suspend fun book(headers: List<Pair<String, String>> = emptyList()) =
        fleet.call("POST", "/services/lots/7", "one", headers = headers)

    // Guards against a key in any byte that reaches an endpoint.
    @Test
    fun `no caller key reaches a service`() =
        runBlocking<Unit> {
            FakeService("s1", fleet).use { service ->
                use(service.endpoint, open = true)
                val path = "/services/lots/a%20b?x=1&api_key=${GatewayFixture.KEY}&%6bey=${GatewayFixture.KEY}&y=%41"
                val headers = listOf("x-api-key" to GatewayFixture.KEY, "Cookie" to GatewayFixture.KEY)
                val response = fleet.call("GET", path, headers = headers)
                expectThat(response.status).isEqualTo(200)
                expectThat(service.seen).hasSize(1)
                expectThat(service.seen.single()).startsWith("GET /lots/a%20b?x=1&y=%41 ")
                expectThat(GatewayFixture.KEY in service.seen.single()).isEqualTo(false)
                val inBody = fleet.call("POST", "/services/lots", "the key is ${GatewayFixture.KEY}")
                expectThat(inBody.status).isEqualTo(400)
                expectThat(service.seen).hasSize(1)
            }
        }

    @Test
    fun `an open route needs no key and a closed one does`() =
        runBlocking<Unit> {
            FakeService("s1", fleet).use { service ->
                use(service.endpoint, open = true)
                expectThat(fleet.call("GET", "/services/lots", key = null).status).isEqualTo(200)
                use(service.endpoint)
                expectThat(fleet.call("GET", "/services/lots", key = null).status).isEqualTo(401)
                expectThat(fleet.call("GET", "/services/lots").status).isEqualTo(200)
                expectThat(service.seen.last()).contains("X-Customer=alpha")
                expectThat(fleet.call("GET", "/services/lotsx").status).isEqualTo(404)
                expectThat(fleet.call("GET", "/services/lots/%2e%2e/admin").status).isEqualTo(400)
                expectThat(fleet.call("GET", "/services/lots/..%2fadmin").status).isEqualTo(400)
            }
        }

    @Test
    fun `a repeatable call is retried once on another endpoint`() =
        runBlocking<Unit> {
            SilentService("s1").use { silent ->
                FakeService("s2", fleet).use { service ->
                    use(silent.endpoint, service.endpoint)
                    repeat(6) { expectThat(fleet.call("GET", "/services/lots").status).isEqualTo(200) }
                    expectThat(service.seen).hasSize(6)
                }
                SilentService("s3").use { other ->
                    use(silent.endpoint, other.endpoint)
                    val response = fleet.call("GET", "/services/lots")
                    expectThat(response.status).isEqualTo(503)
                    expectThat(response.headers.get("X-Lacewingweir-Run")).isEqualTo("unknown")
                    expectThat(response.headers.get("Retry-After")).isEqualTo("1")
                }
            }
        }

    // Guards against a booking that runs twice.
    @Test
    fun `an unrepeatable call is never sent twice`() =
        runBlocking<Unit> {
            SilentService("s1").use { first ->
                SilentService("s2").use { second ->
                    use(first.endpoint, second.endpoint, repeatable = false)
                    val response = book()
                    expectThat(response.status).isEqualTo(503)
                    expectThat(response.headers.get("X-Lacewingweir-Run")).isEqualTo("unknown")
                    expectThat(first.connections.get() + second.connections.get()).isEqualTo(1)
                }
            }
        }

    // Guards against a false "not run".
    @Test
    fun `not run is said only if nothing was sent or the endpoint says so`() =
        runBlocking<Unit> {
            use(serviceEndpoint("s1", closedPort()), repeatable = false)
            val notSent = book()
            expectThat(notSent.status).isEqualTo(503)
            expectThat(notSent.headers.get("X-Lacewingweir-Run")).isEqualTo("not-run")
            FakeService("s2", fleet) { it.respond(503, listOf("X-Run" to "not-run")) }.use { service ->
                use(service.endpoint, repeatable = false)
                expectThat(book().headers.get("X-Lacewingweir-Run")).isEqualTo("not-run")
            }
            FakeService("s3", fleet) { it.respond(500) }.use { service ->
                use(service.endpoint, repeatable = false)
                expectThat(book().headers.get("X-Lacewingweir-Run")).isEqualTo("unknown")
            }
            FakeService("s4", fleet).use { service ->
                use(service.endpoint, repeatable = false)
                expectThat(book().headers.get("X-Lacewingweir-Run")).isEqualTo("run")
            }
        }

    // Guards against a repeat of a booking that runs again.
    @Test
    fun `a repeat with the same idempotency key gets the stored outcome`() =
        runBlocking<Unit> {
            FakeService("s1", fleet) { it.respond(201, body = "booked".encodeToByteArray()) }.use { service ->
                use(service.endpoint, repeatable = false)
                val key = listOf("Idempotency-Key" to "k1")
                repeat(3) {
                    val response = book(key)
                    expectThat(response.status).isEqualTo(201)
                    expectThat(response.text()).isEqualTo("booked")
                    delay(50)
                }
                expectThat(service.seen).hasSize(1)
                expectThat(fleet.call("POST", "/services/lots/7", "two", headers = key).status).isEqualTo(400)
                fleet.claims.unavailable = true
                val refused = book(listOf("Idempotency-Key" to "k2"))
                expectThat(refused.status).isEqualTo(503)
                expectThat(refused.headers.get("X-Lacewingweir-Run")).isEqualTo("not-run")
                use(service.endpoint, repeatable = false, claimOutage = ClaimOutagePolicy.RUN_WITHOUT_CLAIM)
                expectThat(book(listOf("Idempotency-Key" to "k3")).status).isEqualTo(201)
            }
        }

    @Test
    fun `a claimed call whose outcome is unknown is answered with 409 and not sent again`() =
        runBlocking<Unit> {
            SilentService("s1").use { service ->
                use(service.endpoint, repeatable = false)
                val key = listOf("Idempotency-Key" to "k1")
                expectThat(book(key).headers.get("X-Lacewingweir-Run")).isEqualTo("unknown")
                val repeat = book(key)
                expectThat(repeat.status).isEqualTo(409)
                expectThat(repeat.headers.get("X-Lacewingweir-Run")).isEqualTo("unknown")
                expectThat(service.connections.get()).isEqualTo(1)
                use(serviceEndpoint("s2", closedPort()), repeatable = false)
                val fresh = listOf("Idempotency-Key" to "k2")
                repeat(2) {
                    expectThat(book(fresh).headers.get("X-Lacewingweir-Run")).isEqualTo("not-run")
                    delay(50)
                }
            }
        }

    // Guards against a call that is lost because its caller left: a repeat must find the outcome.
    @Test
    fun `a claimed call goes on when its caller leaves`() =
        runBlocking<Unit> {
            FakeService("s1", fleet) {
                delay(400)
                it.respond(201, body = "booked".encodeToByteArray())
            }.use { service ->
                use(service.endpoint, repeatable = false)
                val key = listOf("Idempotency-Key" to "k1")
                expectThat(withTimeoutOrNull(150) { book(key) }).isNull()
                delay(600)
                expectThat(book(key).text()).isEqualTo("booked")
                expectThat(service.seen).hasSize(1)
                val stopped = async { book(listOf("Idempotency-Key" to "k2")) }
                fleet.eventually { service.seen.size == 2 }
                fleet.keys.withdraw(GatewayFixture.KEY)
                expectThat(stopped.await().status).isEqualTo(401)
                expectThat(stopped.await().headers.get("X-Lacewingweir-Run")).isEqualTo("unknown")
                expectThat(service.seen).hasSize(2)
            }
        }

    // Guards against a cut answer that looks whole.
    @Test
    fun `a cut answer closes the caller's connection`() =
        runBlocking<Unit> {
            FakeService("s1", fleet) {
                it.startStream(200)
                it.write("half".encodeToByteArray())
                delay(50)
                it.abort()
            }.use { service ->
                use(service.endpoint)
                expectThat(fleet.call("GET", "/services/lots").readAll(1000)).isNull()
                expectThat(service.seen.filter { "Authorization" in it }).isEmpty()
            }
        }
}
