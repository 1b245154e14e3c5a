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
 * An entry instance with all components of `serve`. A process can contain several, as in `demo` and in tests.
 *
 * [policy] is the placement policy. Policies other than the default are used in measurements only.
 */
public class EntryInstance(
    private val settings: Settings,
    policy: PlacementPolicy = ::prefixAwarePlacement,
) : AutoCloseable {
    private val runtime = InstanceRuntime()
    private val fleetSecret = settings.fleetSecret.value.encodeToByteArray()
    private val requestLog = RequestLog()
    private val openTelemetry = Tracing.open(settings.traceEndpoint)

    @Volatile
    private var stopping = false

    private var rolloutSubscription: Subscription? = null

    private val fleet: FleetComponents = FleetComponents(settings, runtime) { readiness.unreadyReasons().isEmpty() }
    private val engineAdapter = HttpEngineAdapter(runtime.http)
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

    private val rolloutAgent = RolloutAgent(settings.name, fleet.store, fleet.bundles, engineAdapter, runtime.clock)

    private val gateway =
        Gateway(
            bundles = fleet.bundles,
            keys = fleet.keys,
            rates = fleet.rates,
            claims = StoreClaimRegister(fleet.store, runtime.clock),
            scheduler = scheduler,
            engines = engineAdapter,
            serviceClient = runtime.http,
            resumeTokenCodec = ResumeTokenCodec(fleetSecret),
            cacheSaltSecret = fleetSecret,
            scope = runtime.scope,
            metrics = GatewayMetrics(runtime.registry),
            requests = requestLog,
            openTelemetry = openTelemetry,
            clock = runtime.clock,
            leaving = fleet.endpoints,
        )

    private val callerServer =
        HttpServer(
            runtime.group,
            runtime.scope,
            settings.callerListen.host,
            settings.callerListen.port,
            { httpLimits(settings.http) },
            handler = gateway::handle,
        )

    private val operatorServer =
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
        get() = callerServer.port

    /** Port for peers; valid after [start]. */
    public val peerPort: Int
        get() = fleet.network.self.peerPort

    /** Port for operators; valid after [start]. */
    public val operatorPort: Int
        get() = operatorServer.port

    /** Whether the instance holds a share of every customer's rate. */
    public val hasRateShare: Boolean
        get() = fleet.membership.current() != null

    /** Whether the instance is ready to serve callers. */
    public val isReady: Boolean
        get() = readiness.unreadyReasons().isEmpty()

    /**
     * Binds all ports and starts to join the fleet. Returns this instance before it is ready.
     *
     * @throws java.net.BindException if an address is in use
     */
    public suspend fun start(): EntryInstance {
        operatorServer.start()
        fleet.start()
        rolloutSubscription = rolloutAgent.start(runtime.timers)
        callerServer.start()
        logger.info { "serve: instance ${settings.name} listens for callers on ${settings.callerListen}" }
        return this
    }

    private fun explain(requestId: String): String? =
        requestLog.find(RequestId(requestId))?.let { Json.encodeToString(RequestRecord.serializer(), it) }

    /**
     * Shuts down gracefully: reports that the instance is not ready, waits until the load balancer has removed it,
     * waits for running requests, returns loans and leaves the membership. Returns whether all requests ended within
     * the drain time; those that did not are cut off.
     */
    public suspend fun shutdown(): Boolean {
        stopping = true
        logger.info { "serve: stopping; waiting ${settings.shutdown.balancerMillis} ms for the load balancer" }
        delay(settings.shutdown.balancerMillis)
        val drained = callerServer.drain(settings.shutdown.drainMillis)
        if (!drained) logger.warn { "serve: ${callerServer.requestsInFlight} requests still running after the drain" }
        rolloutSubscription?.cancel()
        rolloutAgent.resign()
        fleet.rates.returnAllLoans()
        fleet.membership.leave()
        withTimeoutOrNull(LEAVE_TIMEOUT_MILLIS) { while (!fleet.membership.hasLeft()) delay(LEAVE_POLL_MILLIS) }
        close()
        logger.info { "serve: stopped" }
        return drained
    }

    /** Stops immediately. Running requests are cut off. */
    override fun close() {
        callerServer.close()
        operatorServer.close()
        scheduler.close()
        fleet.close()
        (openTelemetry as? OpenTelemetrySdk)?.close()
        runtime.close()
    }

    private companion object {
        const val LEAVE_TIMEOUT_MILLIS: Long = 5_000
        const val LEAVE_POLL_MILLIS: Long = 50

        fun httpLimits(http: HttpSettings): HttpLimits =
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
