package lacewingweir.platform

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel
import lacewingweir.coordination.crash.CrashQuarantine
import lacewingweir.coordination.fleet.FleetDirectory
import lacewingweir.coordination.fleet.StoreContactProof
import lacewingweir.coordination.gossip.FleetRateLimiter
import lacewingweir.coordination.placement.EndpointStatements
import lacewingweir.coordination.placement.EndpointTracker
import lacewingweir.coordination.placement.RunTransfers
import lacewingweir.coordination.placement.WeightsAgePolicy
import lacewingweir.coordination.store.StoreChange
import lacewingweir.coordination.time.CoroutineTimerService
import lacewingweir.coordination.weights.takesRun
import lacewingweir.state.id.EndpointId
import lacewingweir.state.id.FailureDomain
import lacewingweir.state.time.MonotonicClock
import lacewingweir.state.time.SuspendAwareClock
import lacewingweir.testing.localStreamVersions
import lacewingweir.testing.repeatBudgetOfOldRun
import lacewingweir.transport.http.ClientRequest
import lacewingweir.transport.http.ClientResult
import lacewingweir.transport.http.EventLoopLag
import lacewingweir.transport.http.HttpClient
import lacewingweir.transport.http.HttpServer
import lacewingweir.transport.http.ServerExchange
import lacewingweir.transport.http.readAll
import lacewingweir.transport.relay.CallRelay
import lacewingweir.transport.relay.EndpointSender
import lacewingweir.transport.relay.RelayLimits
import lacewingweir.transport.relay.RepeatBudgets
import lacewingweir.transport.relay.RunHandovers
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList

/** A relay and endpoints on loopback. Each test defines the responses of its endpoints. */
internal class RelayFixture(
    repeatExtra: Double = 50.0,
    weightsLimitMillis: Long = 8_000,
    private val routeTimeoutMillis: Long = 2_000,
    private val resumable: Boolean = true,
) : AutoCloseable {
    class Endpoint(
        val id: String,
        val receivedRequests: MutableList<ServerExchange>,
        val server: HttpServer,
    )

    class CallerResponse(
        val status: Int,
        val body: String,
        val retryAfter: String?,
        val complete: Boolean,
    )

    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val loop = group.next()
    private val scope = CoroutineScope(SupervisorJob() + loop.asCoroutineDispatcher())
    private val loopLag = EventLoopLag(loop).also { it.start() }
    private val http = HttpClient(group)
    private val suspendAwareClock = SuspendAwareClock()
    val proof = StoreContactProof(suspendAwareClock).also { it.prove(suspendAwareClock.now()) }
    private val directory =
        FleetDirectory(PlatformItemCodec::decode, suspendAwareClock, CoroutineTimerService(scope), proof)
    private val clock = MonotonicClock.SYSTEM
    private val rateLimiter = FleetRateLimiter(clock, 8_000, { emptySet() }, { 1 })
    private val tracker =
        EndpointTracker(clock, FailureDomain("z1"), WeightsAgePolicy(suspendAwareClock) { weightsLimitMillis })
    private val repeatBudgets =
        RepeatBudgets(clock, { 1 }) { repeatBudgetOfOldRun(clock.nowMillis(), ratio = 0.0, extra = repeatExtra) }
    var limits = RelayLimits(maxKeyProofAgeMillis = 4_500, placementWaitMillis = 100)
    private val statements = EndpointStatements(directory, tracker)
    private val engineCalls = PlatformEngineClient(http, statements::isPaused, statements::record)
    private val weightsControl = PlatformWeightsControl(engineCalls)
    private val handovers =
        RunHandovers(
            tracker,
            PlatformKvCacheCopier(engineCalls),
            repeatBudgets,
            scope,
            clock,
            RunTransfers("a", clock, firstNumber = 1),
            takesRun = { weightsControl.takesRun(it.endpoint, it.model, it.weights) },
        )
    private val streamVersions = localStreamVersions(clock, scope) { directory.snapshot }
    private val sender =
        EndpointSender(http, PlatformEndpointProtocol, handovers, streamVersions, onStatement = statements::record)
    private val quarantine =
        CrashQuarantine(
            "a",
            clock,
            scope,
            refusesConnections = { http.isRefused(it.host, it.port, timeoutMillis = 400) },
            onNews = {},
            onDecision = {},
        )
    private val relay =
        CallRelay(
            directory,
            proof,
            rateLimiter,
            repeatBudgets,
            tracker,
            sender,
            handovers,
            quarantine,
            streamVersions,
            clock,
            { limits },
            awaitDisconnects = loopLag::awaitNextPass,
        )
    private val callerServer =
        HttpServer(group, scope, "127.0.0.1", 0) { exchange ->
            val call = checkNotNull(PlatformRequestDecoder.decode(exchange, clock.nowMillis()))
            relay.handle(call, exchange)
        }.start()
    val callerPort: Int
        get() = callerServer.port
    private val servers = ArrayList<HttpServer>()
    private var revision = 0L
    private var configNumber = 0L

    init {
        directory.observe { snapshot ->
            snapshot.config?.let { rateLimiter.configure(it, emptySet()) }
            tracker.onFleet(snapshot)
            streamVersions.onFleet(snapshot)
        }
    }

    fun write(
        key: String,
        json: String,
    ) = directory.onChanged(listOf(StoreChange(key, ++revision, json.encodeToByteArray())))

    fun remove(key: String) = directory.onChanged(listOf(StoreChange(key, ++revision, null)))

    /** Writes a configuration with one route of each request kind and one customer with [keys]. */
    fun configure(vararg keys: String) {
        val routes =
            listOf(
                "idempotent" to "plain",
                "non_idempotent" to "plain",
                "stream" to "engine",
            ).joinToString(",") { (kind, service) ->
                """{"name":"r-$kind","host":"h.example","prefix":"/$kind/","kind":"$kind","timeoutMs":$routeTimeoutMillis,
                "latencyTargetMs":500,"priority":1,"service":"$service",
                "maxAttempts":2,"public":false,"resumable":$resumable}"""
            }
        val customer = """{"name":"acme","apiKeys":[${keys.joinToString(",") { "\"$it\"" }}],"isolated":true}"""
        write(
            "op/config",
            """{"version":${++configNumber},"routes":[$routes],"services":[{"name":"plain","maxConns":10},
            {"name":"engine","maxConns":10,
            "engine":{"slots":8,"kvCapTokens":10000,"moves":true,"models":[{"name":"m"}]}}],"tenants":[$customer]}""",
        )
    }

    /** Starts an endpoint whose requests are handled by [handler], and writes its item to the store. */
    fun endpoint(
        id: String,
        service: String = "plain",
        software: String = "v1",
        weights: Int = 1,
        handler: suspend (ServerExchange) -> Unit,
    ): Endpoint {
        val receivedRequests = CopyOnWriteArrayList<ServerExchange>()
        val server =
            HttpServer(group, scope, "127.0.0.1", 0) {
                receivedRequests += it
                handler(it)
            }.start()
        servers += server
        return Endpoint(
            id,
            receivedRequests,
            server,
        ).also { register(it, service, software = software, weights = weights) }
    }

    /** Writes the item of [endpoint] to the store. */
    fun register(
        endpoint: Endpoint,
        service: String,
        state: String = "ready",
        software: String = "v1",
        weights: Int = 1,
        startedAtUnixMillis: Long = 1_000,
    ) {
        val models = if (service == "engine") ""","models":[{"name":"m","version":$weights,"adapters":[]}]""" else ""
        write(
            "servers/${endpoint.id}",
            """{"service":"$service","address":"127.0.0.1:${endpoint.server.port}","zone":"z1","version":"$software","slots":4,
            "state":"$state","coldLeftMs":0,"sequence":1,"born":$startedAtUnixMillis$models}""",
        )
    }

    /** Marks [endpoint] as about to load weights, as the holder of the rollout lease does for about a second. */
    fun announceLoad(endpoint: Endpoint) = tracker.markLoading(listOf(EndpointId(endpoint.id)))

    fun setTargetWeights(weights: Int) = write("op/version/m", """{"model":"m","version":$weights}""")

    /** Writes the item of an engine that listens at [port] to the store. */
    fun registerEngine(
        id: String,
        port: Int,
    ) = write(
        "servers/$id",
        """{"service":"engine","address":"127.0.0.1:$port","zone":"z1","version":"v1","slots":4,"state":"ready",
            "coldLeftMs":0,"sequence":1,"born":1000,"models":[{"name":"m","version":1,"adapters":[]}]}""",
    )

    /** Sends a request and closes the connection [closeAfterMillis] later, without reading a response. */
    fun callAndLeave(
        kind: String,
        closeAfterMillis: Long,
    ) = Socket("127.0.0.1", callerServer.port).use { socket ->
        val head = "POST /$kind/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: $REQUEST_ID\r\nX-Api-Key: k1\r\n"
        socket.getOutputStream().write("${head}Deadline-Ms: 2000\r\nContent-Length: 0\r\n\r\n".encodeToByteArray())
        Thread.sleep(closeAfterMillis)
    }

    /** Writes the item of an endpoint of the plain service that listens at [port] to the store. */
    fun registerPlain(
        id: String,
        port: Int,
    ) = write(
        "servers/$id",
        """{"service":"plain","address":"127.0.0.1:$port","zone":"z1","version":"v1","slots":4,"state":"ready",
            "coldLeftMs":0,"sequence":1,"born":1000}""",
    )

    suspend fun call(
        kind: String,
        key: String = "k1",
        headers: List<Pair<String, String>> = emptyList(),
        callerTimeoutMillis: Long = 2_000,
        id: String = REQUEST_ID,
        body: String = "body",
    ): CallerResponse {
        val request =
            ClientRequest(
                host = "127.0.0.1",
                port = callerServer.port,
                method = "POST",
                path = "/$kind/x?y=%20z",
                headers =
                    listOf(
                        "Host" to "h.example",
                        "Attempt-Id" to id,
                        "X-Api-Key" to key,
                        "Deadline-Ms" to "$callerTimeoutMillis",
                    ) +
                        headers,
                body = body.encodeToByteArray(),
                preserveHostHeader = true,
            )
        val response = (http.open(request) as ClientResult.Answered).response
        val answer = response.readAll(1_000_000)
        return CallerResponse(
            response.status,
            answer?.decodeToString().orEmpty(),
            response.headers.get("Retry-After"),
            complete =
                answer != null,
        )
    }

    override fun close() {
        callerServer.close()
        servers.forEach { it.close() }
        http.close()
        scope.cancel()
        group.shutdownGracefully(0, 100, java.util.concurrent.TimeUnit.MILLISECONDS)
    }

    internal companion object {
        const val REQUEST_ID = "9c41d07be2a35f68"

        /** Headers of a response that names the request. */
        val responseHeaders = listOf("Attempt-Id" to REQUEST_ID, "Server-Stamp" to "stamp")

        /** The status report of an engine with the weights 1, which is [busy] if it loads others. */
        fun engineReport(busy: Boolean) =
            """{"models":[{"name":"m","version":1,"adapters":[]}],"busy":$busy,"sequence":1}""".encodeToByteArray()
    }
}
