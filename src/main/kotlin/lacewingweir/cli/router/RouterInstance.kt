/** One router process on the operators' platform: all parts, wired. */
package lacewingweir.cli.router

import io.github.oshai.kotlinlogging.KotlinLogging
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import lacewingweir.coordination.fleet.FleetDirectory
import lacewingweir.coordination.fleet.LeasedInstanceRegistration
import lacewingweir.coordination.fleet.StoreContactProof
import lacewingweir.coordination.fleet.StoreMirror
import lacewingweir.coordination.gossip.DigestSender
import lacewingweir.coordination.gossip.FleetRateLimiter
import lacewingweir.coordination.gossip.InstanceDigest
import lacewingweir.coordination.gossip.PeerDigests
import lacewingweir.coordination.placement.EndpointTracker
import lacewingweir.coordination.placement.WeightsAgePolicy
import lacewingweir.coordination.store.StoreTransaction
import lacewingweir.coordination.store.StoreWrite
import lacewingweir.coordination.time.CoroutineTimerService
import lacewingweir.coordination.weights.RolloutLease
import lacewingweir.coordination.weights.WeightsRollout
import lacewingweir.platform.PlatformEndpointProtocol
import lacewingweir.platform.PlatformEngineClient
import lacewingweir.platform.PlatformItemCodec
import lacewingweir.platform.PlatformKeys
import lacewingweir.platform.PlatformRequestDecoder
import lacewingweir.platform.PlatformRunTransfer
import lacewingweir.platform.PlatformStore
import lacewingweir.platform.PlatformWeightsControl
import lacewingweir.protocol.settings.HostPort
import lacewingweir.protocol.settings.RouterSettings
import lacewingweir.state.fleet.CallerLimits
import lacewingweir.state.retry.RepeatBudget
import lacewingweir.state.time.MonotonicClock
import lacewingweir.state.time.SuspendAwareClock
import lacewingweir.transport.digest.DatagramDigestNetwork
import lacewingweir.transport.http.HttpClient
import lacewingweir.transport.http.HttpLimits
import lacewingweir.transport.http.HttpServer
import lacewingweir.transport.http.ServerExchange
import lacewingweir.transport.relay.CallRelay
import lacewingweir.transport.relay.EndpointSender
import lacewingweir.transport.relay.RelayLimits
import lacewingweir.transport.relay.RelayRefusal
import lacewingweir.transport.relay.RepeatBudgets
import lacewingweir.transport.relay.RunHandovers

private val logger = KotlinLogging.logger {}

internal class RouterInstance(
    private val settings: RouterSettings,
) {
    private val group = MultiThreadIoEventLoopGroup(settings.cores, NioIoHandler.newFactory())
    private val scope = CoroutineScope(SupervisorJob() + group.next().asCoroutineDispatcher())
    private val timers = CoroutineTimerService(scope)
    private val clock = MonotonicClock.SYSTEM
    private val ages = SuspendAwareClock()
    private val bounds = settings.bounds
    private val storeAddress = checkNotNull(HostPort.parse(settings.storeAddress))
    private val store = PlatformStore(HttpClient(group, defaultIdleTimeoutMillis = STORE_IDLE_MILLIS), storeAddress)
    private val endpoints = HttpClient(group, defaultIdleTimeoutMillis = UNSTATED_IDLE_MILLIS)
    private val proof = StoreContactProof(ages)
    private val directory = FleetDirectory(PlatformItemCodec::decode, ages, timers)
    private val mirror = StoreMirror(store, ALL_KEYS, WATCH_MILLIS, ages, proof, directory)
    private val peers = PeerDigests(settings.name, clock)
    private val rateWindowMillis = (bounds.rateWindowSeconds * MILLIS_PER_SECOND).toLong()
    private val rates =
        FleetRateLimiter(clock, settings.name, rateWindowMillis, { peers.names() }, { directory.snapshot.peers.size })
    private val startedAtMillis = clock.nowMillis()
    private val startedAtUnixMillis = System.currentTimeMillis()
    private val tracker = EndpointTracker(clock, settings.domain, WeightsAgePolicy(ages) { bounds.weightsMillis })
    private val repeats =
        RepeatBudgets(clock, { directory.snapshot.peers.size }) {
            RepeatBudget(
                (bounds.repeatWindowSeconds * MILLIS_PER_SECOND).toLong(),
                bounds.repeatRatio,
                bounds.repeatExtra,
            )
        }
    private val engineCalls = PlatformEngineClient(endpoints)
    private val handovers = RunHandovers(tracker, PlatformRunTransfer(engineCalls), repeats, scope, clock)
    private val relay =
        CallRelay(
            directory,
            proof,
            rates,
            repeats,
            tracker,
            EndpointSender(endpoints, PlatformEndpointProtocol, handovers),
            clock,
            { relayLimits },
        )
    private val relayLimits = RelayLimits(maxKeyProofAgeMillis = bounds.keyWithdrawalMillis - KEY_MARGIN_MILLIS)
    private val network = DatagramDigestNetwork(settings.host, settings.internalPorts.first(), scope, ::onDigest)
    private val lease = RolloutLease(store, ages, PlatformKeys.ROLLOUT_LEASE, settings.name, bounds.orderLeaseMillis)
    private val rollout: WeightsRollout =
        WeightsRollout(
            directory,
            tracker,
            PlatformWeightsControl(engineCalls),
            lease,
            timers,
            scope,
            settings.name,
            ages,
            { digests.sendNow() },
        )
    private val digests: DigestSender =
        DigestSender(directory, network, timers) {
            InstanceDigest(
                instance = settings.name,
                run = startedAtUnixMillis,
                number = 0,
                admittedTokens = rates.admittedTokens(),
                loads = tracker.ownLoads(),
                weights = tracker.observedEngineWeights(rollout.loading),
                recentPrefills = tracker.recentPrefills(),
                windowTotals = rates.windowTotals(),
                hasFullWindow = hasFullWindow(),
            )
        }
    private val registration =
        LeasedInstanceRegistration(
            store,
            timers,
            PlatformKeys.INSTANCE_PREFIX + settings.name,
            PlatformItemCodec.encodePeer(settings.host, settings.internalPorts.first(), settings.domain),
        )
    private val callers = server(settings.callerListen, ::serve)
    private val readiness = server(settings.readinessListen, ::answerReadiness)

    @Volatile
    private var draining = false

    /** Opens the ports and begins to follow the store. */
    suspend fun start() {
        directory.observe { snapshot ->
            snapshot.config?.let { rates.configure(it, snapshot.hotCustomers) }
            tracker.onFleet(snapshot)
        }
        network.start()
        readiness.start()
        callers.start()
        scope.launch { mirror.run() }
        scope.launch { registration.start() }
        digests.start()
        timers.every("hot customers", HOT_PERIOD_MILLIS) { noteHotCustomers() }
        rollout.start()
        logger.info { "router: started name=${settings.name} domain=${settings.failureDomain} store=$storeAddress" }
    }

    /**
     * Leaves the entry's rotation, finishes what was read and returns. Requests that still run shortly before the
     * process is killed are left to their connections' end.
     */
    suspend fun shutdown() {
        logger.info { "router: stopping, requests in flight=${callers.requestsInFlight}" }
        draining = true
        callers.beginDrain()
        rollout.stop()
        val endMillis =
            clock.nowMillis() + (bounds.shutdownSeconds * MILLIS_PER_SECOND).toLong() - SHUTDOWN_MARGIN_MILLIS
        delay(ROTATION_MILLIS)
        callers.stopAccepting()
        callers.closeIdleConnections()
        while (clock.nowMillis() < endMillis && callers.requestsInFlight > 0) {
            delay(DRAIN_POLL_MILLIS)
            callers.closeIdleConnections()
        }
        registration.stop()
        logger.info { "router: stopped, requests in flight=${callers.requestsInFlight}" }
    }

    private fun server(
        address: String,
        handler: suspend (ServerExchange) -> Unit,
    ): HttpServer {
        val listen = checkNotNull(HostPort.parse(address))
        return HttpServer(group, scope, listen.host, listen.port, ::callerLimits, handler)
    }

    private fun callerLimits(): HttpLimits {
        val limits = directory.snapshot.config?.limits ?: CallerLimits()
        return HttpLimits(
            maxBodyBytes = limits.maxBodyBytes,
            maxHeaderBytes = limits.maxHeaderBytes,
            maxLineBytes = limits.maxHeaderBytes,
            idleReadMillis = limits.idleTimeoutMillis,
        )
    }

    private suspend fun serve(exchange: ServerExchange) {
        val call = PlatformRequestDecoder.decode(exchange, exchange.arrivedAtNanos / NANOS_PER_MILLI)
        if (call == null) {
            logger.warn { "router: malformed request ${exchange.method} ${exchange.path}" }
            exchange.respond(RelayRefusal.MALFORMED.status)
            return
        }
        relay.handle(call, exchange)
    }

    private suspend fun answerReadiness(exchange: ServerExchange) {
        exchange.respond(if (ready()) READY else NOT_READY)
    }

    private fun ready() = !draining && directory.snapshot.config != null && proof.ageMillis() < READY_PROOF_MILLIS

    /** Keeps in the store who uses most of their rate, for instances that start after all have been lost together. */
    private suspend fun noteHotCustomers() {
        val hotCustomers = rates.hotCustomers()
        if (lease.fencingToken() == null || !hasFullWindow() || hotCustomers == directory.snapshot.hotCustomers) return
        val write = StoreWrite(PlatformKeys.HOT_CUSTOMERS, PlatformItemCodec.encodeHotCustomers(hotCustomers))
        val result = store.commit(StoreTransaction(writes = listOf(write)))
        logger.info { "router: hot customers noted count=${hotCustomers.size} result=$result" }
    }

    private fun hasFullWindow() = clock.nowMillis() - startedAtMillis > rateWindowMillis

    private fun onDigest(digest: InstanceDigest) {
        val accepted = peers.accept(digest)
        if (accepted !is PeerDigests.AcceptResult.Updated) return
        rates.onDigest(digest, accepted.previous)
        tracker.onDigest(digest)
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000
        const val NANOS_PER_MILLI = 1_000_000L
        const val READY = 200
        const val NOT_READY = 503

        /** One mirror follows everything, so that one watch proves all of it. */
        const val ALL_KEYS = ""

        /** Wait of a watch call: each is priced, and the contact proof gets this old between two of them. */
        const val WATCH_MILLIS: Long = 1_500

        /** Time for a request to reach its endpoint after the last check of its key. */
        const val KEY_MARGIN_MILLIS: Long = 500

        /** An instance that hears nothing for two watches leaves the rotation before it has to refuse. */
        const val READY_PROOF_MILLIS: Long = 3_200

        /** The platform's idle timeouts below a second are not stated. */
        const val UNSTATED_IDLE_MILLIS: Long = 300
        const val STORE_IDLE_MILLIS: Long = 5_000

        /** The entry asks once a second and needs two misses. */
        const val ROTATION_MILLIS: Long = 2_600

        /** Time between the end of the drain and the kill. */
        const val SHUTDOWN_MARGIN_MILLIS: Long = 400
        const val DRAIN_POLL_MILLIS: Long = 50

        /** A flood fills a rate's window within a second or two. */
        const val HOT_PERIOD_MILLIS: Long = 1_000
    }
}
