package lacewingweir.transport.gateway

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.opentelemetry.api.OpenTelemetry
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeout
import lacewingweir.coordination.bundle.BundleSource
import lacewingweir.coordination.claims.CallOutcome
import lacewingweir.coordination.claims.Claim
import lacewingweir.coordination.claims.ClaimRegister
import lacewingweir.coordination.claims.ClaimResult
import lacewingweir.coordination.keys.KeyAuthenticator
import lacewingweir.coordination.keys.KeyDecision
import lacewingweir.coordination.rate.RateAdmission
import lacewingweir.coordination.rate.Reservation
import lacewingweir.coordination.rate.ReserveResult
import lacewingweir.coordination.routing.AttemptOutcome
import lacewingweir.coordination.routing.EngineLease
import lacewingweir.coordination.routing.EngineLoad
import lacewingweir.coordination.routing.EngineScheduler
import lacewingweir.coordination.routing.ScheduleRequest
import lacewingweir.coordination.routing.ScheduleResult
import lacewingweir.coordination.time.Subscription
import lacewingweir.protocol.engine.SseEvent
import lacewingweir.protocol.engine.SseReader
import lacewingweir.protocol.resume.ResumeTokenCodec
import lacewingweir.state.bundle.Bundle
import lacewingweir.state.bundle.Customer
import lacewingweir.state.bundle.Endpoint
import lacewingweir.state.bundle.Model
import lacewingweir.state.bundle.Route
import lacewingweir.state.bundle.TrafficClass
import lacewingweir.state.id.BundleNumber
import lacewingweir.state.id.CustomerId
import lacewingweir.state.id.Incarnation
import lacewingweir.state.id.KeyDigest
import lacewingweir.state.id.ModelName
import lacewingweir.state.id.RouteId
import lacewingweir.state.id.WeightsVersion
import lacewingweir.transport.http.ClientRequest
import lacewingweir.transport.http.ClientResponse
import lacewingweir.transport.http.ClientResult
import lacewingweir.transport.http.HttpClient
import lacewingweir.transport.http.HttpServer
import lacewingweir.transport.http.ReadResult
import lacewingweir.transport.http.readAll
import java.security.MessageDigest
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicLong

/** A gateway that listens on a real socket and uses fakes of the other components. */
internal class GatewayFixture(
    openTelemetry: OpenTelemetry = OpenTelemetry.noop(),
    settings: GatewaySettings = GatewaySettings(),
) : AutoCloseable {
    val group = MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory())
    val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    val client = HttpClient(group)
    val engines = listOf(FakeEngine("e1", group, scope), FakeEngine("e2", group, scope))
    val services = CopyOnWriteArrayList<Endpoint>()
    val keys = FakeKeys()
    val rates = FakeRates()
    val scheduler = FakeScheduler { engines.map { it.endpoint } }
    val claims = FakeClaims()
    val requests = RequestLog()

    @Volatile
    var bundle = bundle(emptyList())

    val gateway =
        Gateway(
            bundles = BundleSource { bundle },
            keys = keys,
            rates = rates,
            claims = claims,
            scheduler = scheduler,
            engines = HttpEngineAdapter(client),
            serviceClient = client,
            resumeTokenCodec = ResumeTokenCodec("secret".encodeToByteArray()),
            cacheSaltSecret = "secret".encodeToByteArray(),
            scope = scope,
            requests = requests,
            openTelemetry = openTelemetry,
            settings = settings,
        )
    private val server = HttpServer(group, scope, "127.0.0.1", 0) { gateway.handle(it) }.start()

    fun useServices(
        vararg routes: Route,
        endpoints: List<Endpoint>,
    ) {
        services.replaceWith(endpoints)
        bundle = bundle(routes.toList())
    }

    private fun bundle(routes: List<Route>): Bundle =
        Bundle(
            number = BundleNumber(1),
            customers = listOf(Customer(CustomerId("alpha"), 1000, 1000), Customer(CustomerId("beta"), 1000, 1000)),
            models = listOf(Model(ModelName("m"), WeightsVersion("w1"), maxAnswerTokens = 50)),
            endpoints = engines.map { it.endpoint } + services,
            routes = listOf(Route(RouteId("tags"), TrafficClass.INTERACTIVE, ModelName("m"))) + routes,
        )

    suspend fun call(
        method: String,
        path: String,
        body: String = "",
        key: String? = KEY,
        headers: List<Pair<String, String>> = emptyList(),
    ): ClientResponse {
        val authorization = key?.let { listOf("Authorization" to "Bearer $it") }.orEmpty()
        val request =
            ClientRequest(
                host = "127.0.0.1",
                port = server.port,
                method = method,
                path = path,
                headers = authorization + headers,
                body = body.encodeToByteArray(),
            )
        return (client.open(request) as ClientResult.Answered).response
    }

    suspend fun chat(
        body: String = STREAM_BODY,
        key: String? = KEY,
        headers: List<Pair<String, String>> = emptyList(),
    ): ClientResponse = call("POST", "/v1/chat/completions", body, key, headers)

    suspend fun eventually(condition: () -> Boolean) {
        withTimeout(5_000) { while (!condition()) delay(10) }
    }

    override fun close() {
        server.close()
        engines.forEach { it.close() }
        client.close()
        scope.cancel()
        group.shutdownGracefully()
    }

    companion object {
        const val KEY = "sk-alpha-0123456789abcdef"
        const val OTHER_KEY = "sk-beta-0123456789abcdef"
        const val MESSAGES = """"messages":[{"role":"user","content":"hello"}]"""
        const val STREAM_BODY = """{"model":"m","stream":true,"stream_options":{"include_usage":true},$MESSAGES}"""
        const val BUFFERED_BODY = """{"model":"m",$MESSAGES}"""
    }
}

private fun MutableList<Endpoint>.replaceWith(endpoints: List<Endpoint>) {
    clear()
    addAll(endpoints)
}

/** The events of a stream. [complete] is true if the body was read to its end. */
internal class StreamEvents(
    val list: List<SseEvent>,
    val complete: Boolean,
)

internal suspend fun ClientResponse.events(): StreamEvents {
    val reader = SseReader()
    val events = ArrayList<SseEvent>()
    while (true) {
        when (val result = read()) {
            is ReadResult.Data -> events += checkNotNull(reader.feed(result.bytes))
            ReadResult.End -> return StreamEvents(events, complete = true)
            is ReadResult.Broken -> return StreamEvents(events, complete = false)
        }
    }
}

internal suspend fun ClientResponse.text(): String = checkNotNull(readAll(1 shl 22)).decodeToString()

internal fun digestOf(key: String): KeyDigest =
    KeyDigest(
        MessageDigest
            .getInstance("SHA-256")
            .digest(key.encodeToByteArray())
            .joinToString("") { "%02x".format(it) },
    )

internal class FakeKeys : KeyAuthenticator {
    private val customers =
        ConcurrentHashMap(
            mapOf(
                digestOf(GatewayFixture.KEY) to CustomerId("alpha"),
                digestOf(GatewayFixture.OTHER_KEY) to CustomerId("beta"),
            ),
        )
    private val withdrawalActions = ConcurrentHashMap<Any, Pair<KeyDigest, () -> Unit>>()

    @Volatile
    var stale = false

    override fun authenticate(digest: KeyDigest): KeyDecision {
        if (stale) return KeyDecision.Stale(1_000)
        return customers[digest]?.let { KeyDecision.Accepted(it) } ?: KeyDecision.Rejected
    }

    override fun onWithdrawal(
        digest: KeyDigest,
        action: () -> Unit,
    ): Subscription {
        val registration = Any()
        withdrawalActions[registration] = digest to action
        return Subscription { withdrawalActions.remove(registration) }
    }

    fun withdraw(key: String) {
        customers.remove(digestOf(key))
        withdrawalActions.values.filter { it.first == digestOf(key) }.forEach { it.second() }
    }
}

internal class FakeRates : RateAdmission {
    val reservedTokens = AtomicLong()
    val consumedTokens = AtomicLong()
    val open = AtomicLong()

    @Volatile
    var refuse = false

    override suspend fun reserve(
        customer: CustomerId,
        tokens: Long,
    ): ReserveResult {
        if (refuse) return ReserveResult.Refused(1_200, "empty")
        reservedTokens.addAndGet(tokens)
        open.incrementAndGet()
        return ReserveResult.Reserved(
            object : Reservation {
                override fun consume(tokens: Long) {
                    consumedTokens.addAndGet(tokens)
                }

                override fun close() {
                    open.decrementAndGet()
                }
            },
        )
    }
}

internal class FakeScheduler(
    @Volatile var endpoints: () -> List<Endpoint>,
) : EngineScheduler {
    val outcomes = CopyOnWriteArrayList<AttemptOutcome>()

    @Volatile
    var firstTokenTimeoutMillis = 10_000L

    override suspend fun schedule(request: ScheduleRequest): ScheduleResult {
        val endpoint = endpoints().firstOrNull { it.id !in request.excluded }
        return if (endpoint == null) ScheduleResult.Refused(1_500, "no engine left") else grant(endpoint)
    }

    private fun grant(endpoint: Endpoint): ScheduleResult =
        ScheduleResult.Granted(
            object : EngineLease {
                override val endpoint: Endpoint = endpoint
                override val firstTokenTimeoutMillis: Long = this@FakeScheduler.firstTokenTimeoutMillis

                override fun responseHead(
                    incarnation: Incarnation,
                    load: EngineLoad?,
                    leaving: Boolean,
                ) = Unit

                override fun firstToken(cachedTokens: Long?) = Unit

                override fun finish(
                    outcome: AttemptOutcome,
                    cachedTokens: Long?,
                ) {
                    outcomes += outcome
                }
            },
        )
}

internal class FakeClaims : ClaimRegister {
    private class Entry(
        val digest: String,
    ) {
        @Volatile
        var outcome: CallOutcome? = null
    }

    private val entries = ConcurrentHashMap<String, Entry>()

    @Volatile
    var unavailable = false

    override suspend fun acquire(
        customer: CustomerId?,
        route: RouteId,
        idempotencyKey: String,
        requestDigest: String,
    ): ClaimResult {
        if (unavailable) return ClaimResult.Unavailable("down")
        val key = "$customer $route $idempotencyKey"
        val newEntry = Entry(requestDigest)
        val entry = entries.putIfAbsent(key, newEntry)
        return when {
            entry == null -> ClaimResult.Acquired(claim(key, newEntry))
            entry.digest != requestDigest -> ClaimResult.Mismatch
            else -> ClaimResult.Existing(entry.outcome)
        }
    }

    private fun claim(
        key: String,
        entry: Entry,
    ): Claim =
        object : Claim {
            override suspend fun complete(outcome: CallOutcome) {
                entry.outcome = outcome
            }

            override suspend fun release() {
                entries.remove(key)
            }
        }
}
