package lacewingweir.cli.serve

import io.github.oshai.kotlinlogging.KotlinLogging
import io.opentelemetry.sdk.OpenTelemetrySdk
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.json.Json
import lacewingweir.coordination.claims.StoreClaimRegister
import lacewingweir.coordination.rollout.RolloutAgent
import lacewingweir.coordination.routing.FleetEngineScheduler
import lacewingweir.coordination.time.Subscription
import lacewingweir.protocol.resume.ResumeTokenCodec
import lacewingweir.protocol.settings.HttpSettings
import lacewingweir.protocol.settings.Settings
import lacewingweir.state.id.RequestId
import lacewingweir.state.placement.PlacementPolicy
import lacewingweir.state.placement.prefixAwarePlacement
import lacewingweir.transport.gateway.Gateway
import lacewingweir.transport.gateway.GatewayMetrics
import lacewingweir.transport.gateway.HttpEngineAdapter
import lacewingweir.transport.gateway.RequestLog
import lacewingweir.transport.gateway.RequestRecord
import lacewingweir.transport.http.HttpLimits
import lacewingweir.transport.http.HttpServer
import lacewingweir.transport.operator.OperatorServer
import lacewingweir.transport.operator.OperatorSources

private val logger = KotlinLogging.logger {}

/**
 * One entry instance: all parts of `serve` in one object, so that `demo` and tests can run several in a process.
 *
 * [policy] is the placement policy; other policies than the default are for measurements.
 */
public class EntryInstance(
    private val settings: Settings,
    policy: PlacementPolicy = ::prefixAwarePlacement,
) : AutoCloseable {
    private val runtime = InstanceRuntime()
    private val secret = settings.fleetSecret.value.encodeToByteArray()
    private val requests = RequestLog()
    private val tracing = Tracing.open(settings.traceEndpoint)

    @Volatile
    private var stopping = false

    private var rolloutPasses: Subscription? = null

    private val fleet: FleetComponents = FleetComponents(settings, runtime) { readiness.unreadyReasons().isEmpty() }
    private val engines = HttpEngineAdapter(runtime.http)
    private val scheduler: FleetEngineScheduler =
        FleetEngineScheduler(
            bundles = fleet.bundles,
            clock = runtime.clock,
            timers = runtime.timers,
            leaving = fleet.endpoints,
            policy = policy,
            registry = runtime.registry,
        )
    private val readiness: Readiness = Readiness(settings, { fleet }, { scheduler }, { stopping })

    private val rollout = RolloutAgent(settings.name, fleet.store, fleet.bundles, engines, runtime.clock)

    private val gateway =
        Gateway(
            bundles = fleet.bundles,
            keys = fleet.keys,
            rates = fleet.rates,
            claims = StoreClaimRegister(fleet.store, runtime.clock),
            scheduler = scheduler,
            engines = engines,
            services = runtime.http,
            tokens = ResumeTokenCodec(secret),
            saltSecret = secret,
            scope = runtime.scope,
            metrics = GatewayMetrics(runtime.registry),
            requests = requests,
            openTelemetry = tracing,
            clock = runtime.clock,
            leaving = fleet.endpoints,
        )

    private val callers =
        HttpServer(
            runtime.group,
            runtime.scope,
            settings.callerListen.host,
            settings.callerListen.port,
            { limits(settings.http) },
            gateway::handle,
        )

    private val operators =
        OperatorServer(
            runtime.group,
            runtime.scope,
            settings.operatorListen.host,
            settings.operatorListen.port,
            OperatorSources(
                unreadyReasons = readiness::unreadyReasons,
                fleet = readiness::report,
                explain = ::explain,
                withdraw = { fleet.keys.withdraw(it) },
                registry = runtime.registry,
            ),
        )

    /** Port for callers; valid after [start]. */
    public val callerPort: Int
        get() = callers.port

    /** Port for peers; valid after [start]. */
    public val peerPort: Int
        get() = fleet.network.self.peerPort

    /** Port for operators; valid after [start]. */
    public val operatorPort: Int
        get() = operators.port

    /** Whether the instance owns a share of every customer's rate. */
    public val hasRateShare: Boolean
        get() = fleet.membership.current() != null

    /** Whether the instance is ready to serve. */
    public val isReady: Boolean
        get() = readiness.unreadyReasons().isEmpty()

    /**
     * Binds all ports and joins the fleet. Returns before the instance is ready.
     *
     * @throws java.net.BindException if an address is in use
     */
    public suspend fun start(): EntryInstance {
        operators.start()
        fleet.start()
        rolloutPasses = rollout.start(runtime.timers)
        callers.start()
        logger.info { "serve: instance ${settings.name} listens for callers on ${settings.callerListen}" }
        return this
    }

    private fun explain(requestId: String): String? =
        requests.find(RequestId(requestId))?.let { Json.encodeToString(RequestRecord.serializer(), it) }

    /**
     * Stops without cutting a request: turns unready, waits for the balancer, lets running requests end, gives loans
     * back and leaves the membership. Returns whether every request ended in time.
     */
    public suspend fun shutdown(): Boolean {
        stopping = true
        logger.info { "serve: stopping; waiting ${settings.shutdown.balancerMillis} ms for the balancer" }
        delay(settings.shutdown.balancerMillis)
        callers.stopAccepting()
        val drained = callers.awaitIdle(settings.shutdown.drainMillis)
        if (!drained) logger.warn { "serve: ${callers.requestsInFlight} requests were still running" }
        rolloutPasses?.cancel()
        rollout.resign()
        fleet.rates.returnAllLoans()
        fleet.membership.leave()
        withTimeoutOrNull(LEAVE_TIMEOUT_MILLIS) { while (!fleet.membership.hasLeft()) delay(LEAVE_CHECK_MILLIS) }
        close()
        logger.info { "serve: stopped" }
        return drained
    }

    /** Stops at once; running requests are cut. */
    override fun close() {
        callers.close()
        operators.close()
        scheduler.close()
        fleet.close()
        (tracing as? OpenTelemetrySdk)?.close()
        runtime.close()
    }

    private companion object {
        const val LEAVE_TIMEOUT_MILLIS: Long = 5_000
        const val LEAVE_CHECK_MILLIS: Long = 50

        fun limits(http: HttpSettings): HttpLimits =
            HttpLimits(
                maxBodyBytes = http.maxBodyBytes,
                maxHeaderBytes = http.maxHeaderBytes,
                maxLineBytes = http.maxLineBytes,
                idleReadMillis = http.idleReadMillis,
                writeStallMillis = http.writeStallMillis,
                maxPipelinedRequests = http.maxPipelinedRequests,
            )
    }
}
