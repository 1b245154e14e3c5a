/** Creates and connects the components of a router process on the operators' platform. */
package lacewingweir.cli.router

import io.github.oshai.kotlinlogging.KotlinLogging
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import lacewingweir.cli.BuildInfo
import lacewingweir.coordination.crash.BlockListWriter
import lacewingweir.coordination.crash.CrashQuarantine
import lacewingweir.coordination.fleet.FleetDirectory
import lacewingweir.coordination.fleet.LeasedInstanceRegistration
import lacewingweir.coordination.fleet.RunMarker
import lacewingweir.coordination.fleet.StoreContactProof
import lacewingweir.coordination.fleet.StoreMirror
import lacewingweir.coordination.fleet.TargetMomentsWriter
import lacewingweir.coordination.gossip.DigestSender
import lacewingweir.coordination.gossip.EngineReport
import lacewingweir.coordination.gossip.FleetRateLimiter
import lacewingweir.coordination.gossip.InstanceDigest
import lacewingweir.coordination.gossip.PeerDatagram
import lacewingweir.coordination.gossip.PeerDigests
import lacewingweir.coordination.lease.RolloutLease
import lacewingweir.coordination.placement.EndpointStatements
import lacewingweir.coordination.placement.EndpointTracker
import lacewingweir.coordination.placement.RunTransfers
import lacewingweir.coordination.placement.VersionRules
import lacewingweir.coordination.placement.WeightsAgePolicy
import lacewingweir.coordination.reach.PassTargets
import lacewingweir.coordination.reach.ReachMonitor
import lacewingweir.coordination.store.StoreTransaction
import lacewingweir.coordination.store.StoreWrite
import lacewingweir.coordination.stream.BegunStreamsWriter
import lacewingweir.coordination.stream.ServedVersionsWriter
import lacewingweir.coordination.stream.StreamVersions
import lacewingweir.coordination.time.CoroutineTimerService
import lacewingweir.coordination.time.PartFailures
import lacewingweir.coordination.time.keepRunning
import lacewingweir.coordination.versions.VersionRolloutAgent
import lacewingweir.coordination.versions.VersionRollouts
import lacewingweir.coordination.weights.WeightsRollout
import lacewingweir.coordination.weights.takesRun
import lacewingweir.platform.PlatformEndpointProtocol
import lacewingweir.platform.PlatformEngineClient
import lacewingweir.platform.PlatformItemCodec
import lacewingweir.platform.PlatformKeys
import lacewingweir.platform.PlatformKvCacheCopier
import lacewingweir.platform.PlatformPassProtocol
import lacewingweir.platform.PlatformRequestDecoder
import lacewingweir.platform.PlatformStore
import lacewingweir.platform.PlatformWeightsControl
import lacewingweir.platform.VersionRolloutCodec
import lacewingweir.protocol.settings.HostPort
import lacewingweir.protocol.settings.RouterSettings
import lacewingweir.state.fleet.CallerLimits
import lacewingweir.state.id.ServiceName
import lacewingweir.state.limit.limitShare
import lacewingweir.state.limit.slotShare
import lacewingweir.state.retry.BudgetSharers
import lacewingweir.state.retry.RepeatBudget
import lacewingweir.state.stop.SignalTime
import lacewingweir.state.stop.StopSchedule
import lacewingweir.state.time.MonotonicClock
import lacewingweir.state.time.SuspendAwareClock
import lacewingweir.transport.digest.DatagramDigestNetwork
import lacewingweir.transport.http.EventLoopLag
import lacewingweir.transport.http.HeldBytes
import lacewingweir.transport.http.HttpClient
import lacewingweir.transport.http.HttpLimits
import lacewingweir.transport.http.HttpServer
import lacewingweir.transport.http.RequestBodies
import lacewingweir.transport.http.ServerExchange
import lacewingweir.transport.http.delayAndRead
import lacewingweir.transport.relay.CallPasser
import lacewingweir.transport.relay.CallRelay
import lacewingweir.transport.relay.EndpointSender
import lacewingweir.transport.relay.InboundCall
import lacewingweir.transport.relay.InstanceStop
import lacewingweir.transport.relay.PassedExchange
import lacewingweir.transport.relay.RelayLimits
import lacewingweir.transport.relay.RelayRefusal
import lacewingweir.transport.relay.RepeatBudgets
import lacewingweir.transport.relay.RunHandovers
import java.net.BindException
import java.util.concurrent.TimeUnit

private val logger = KotlinLogging.logger {}

internal class RouterInstance(
    private val settings: RouterSettings,
) : AutoCloseable {
    private val group = MultiThreadIoEventLoopGroup(settings.cores, NioIoHandler.newFactory())
    private val loop = group.next()
    private val failures = PartFailures()
    private val scope = CoroutineScope(SupervisorJob() + loop.asCoroutineDispatcher() + failures.handler)
    private val loopLag = EventLoopLag(loop)
    private val timers = CoroutineTimerService(scope, failures = failures)
    private val clock = MonotonicClock.SYSTEM
    private val ageClock = SuspendAwareClock()
    private val bounds = settings.bounds
    private val storeAddress = checkNotNull(HostPort.parse(settings.storeAddress))
    private val storeClient = HttpClient(group, defaultIdleTimeoutMillis = STORE_IDLE_MILLIS)
    private val store = PlatformStore(storeClient, storeAddress)
    private val endpointClient = HttpClient(group, defaultIdleTimeoutMillis = ENDPOINT_IDLE_MILLIS)
    private val peerClient =
        HttpClient(group, maxIdlePerAddress = MAX_IDLE_PEER_CONNECTIONS, defaultIdleTimeoutMillis = PEER_IDLE_MILLIS)
    private val internalAddress = "${settings.host}:${settings.internalPorts.first()}"
    private val heldBytes = HeldBytes()
    private val requestBodies = RequestBodies()
    private val proof = StoreContactProof(ageClock)
    private val directory = FleetDirectory(PlatformItemCodec::decode, ageClock, timers, proof)
    private val mirror = StoreMirror(store, ALL_KEYS_PREFIX, WATCH_WAIT_MILLIS, ageClock, proof, directory)
    private val peerDigests = PeerDigests(settings.name, clock)
    private val rateWindowMillis = (bounds.rateWindowSeconds * MILLIS_PER_SECOND).toLong()
    private val rateLimiter =
        FleetRateLimiter(
            clock,
            rateWindowMillis,
            { peerDigests.names() },
            { directory.snapshot.peers.size },
        )
    private val startedAtMillis = clock.nowMillis()
    private val startedAtUnixMillis = System.currentTimeMillis()
    private val weightsAgePolicy = WeightsAgePolicy(ageClock) { bounds.weightsMillis }
    private val versionRollouts =
        bounds.exposeShare?.let { share ->
            VersionRollouts(
                share,
                bounds.exposeSlack,
                clock,
                instances = { directory.snapshot.peers.size },
            )
        }
    private val tracker =
        EndpointTracker(
            clock,
            settings.domain,
            weightsAgePolicy,
            limitShare = { endpoint, perSecond ->
                limitShare(endpoint, perSecond, settings.name, peerDigests.names(), directory.snapshot.peers.size)
            },
            slotShare = { endpoint, slots ->
                slotShare(endpoint, slots, settings.name, peerDigests.names(), directory.snapshot.peers.size)
            },
            contended = { settings.agreements.pressure },
            learnSpeeds = settings.placement.learnSpeeds,
            versionRules = versionRollouts?.rules ?: VersionRules(),
        )
    private val versionRolloutAgent =
        versionRollouts?.let { rollouts ->
            VersionRolloutAgent(
                store,
                rollouts,
                RolloutLease(
                    store,
                    ageClock,
                    PlatformKeys.VERSION_ROLLOUT_LEASE,
                    settings.name,
                    bounds.orderLeaseMillis,
                    logPrefix = "version-rollout",
                ),
                VersionRolloutCodec.items,
                timers,
                clock,
                fleet = { directory.snapshot },
                runningAt = tracker::runningAt,
            )
        }
    private val repeatWindowMillis = (bounds.repeatWindowSeconds * MILLIS_PER_SECOND).toLong()
    private val repeatSharers =
        BudgetSharers(maxOf(repeatWindowMillis, LOST_PEER_MEMORY_MILLIS), PEER_DISCOVERY_MILLIS)
    private val runMarker = RunMarker(store, timers, PlatformKeys.RUN_PREFIX + settings.name, repeatWindowMillis)
    private val repeatBudgets =
        RepeatBudgets(clock, { repeatSharers.count(clock.nowMillis()) }) {
            RepeatBudget(repeatWindowMillis, bounds.repeatRatio, bounds.repeatExtra, startedAtMillis) {
                runMarker.mayFollowRun
            }
        }
    private val statements = EndpointStatements(directory, tracker)
    private val engineCalls = PlatformEngineClient(endpointClient, statements::isPaused, statements::record)
    private val stop = InstanceStop(clock)
    private val weightsControl = PlatformWeightsControl(engineCalls)
    private val transfers =
        RunTransfers(settings.name, clock, firstNumber = startedAtUnixMillis) {
            scope.launch { digestSender.reportTransfers() }
        }
    private val handovers =
        RunHandovers(
            tracker,
            PlatformKvCacheCopier(engineCalls),
            repeatBudgets,
            scope,
            clock,
            transfers,
            stop,
            takesRun = { weightsControl.takesRun(it.endpoint, it.model, it.weights) },
        )
    private val quarantine: CrashQuarantine =
        CrashQuarantine(
            settings.name,
            clock,
            scope,
            refusesConnections = {
                endpointClient.isRefused(it.host, it.port, PlatformEndpointProtocol.CONNECT_TIMEOUT_MILLIS)
            },
            onNews = { digestSender.reportCrashNews() },
            onDecision = { blockListWriter.write() },
        )
    private val blockListWriter =
        BlockListWriter(
            store,
            directory,
            timers,
            PlatformKeys.BLOCK_LIST,
            PlatformItemCodec::encodeBlockList,
            { quarantine.blockList },
        )
    private val digestNetwork =
        DatagramDigestNetwork(settings.host, settings.internalPorts.first(), scope, failures, ::onDatagram)
    private val begunStreamsWriter =
        BegunStreamsWriter(
            store,
            timers,
            clock,
            "${PlatformKeys.BEGUN_STREAMS_PREFIX}${settings.name}/",
            PlatformItemCodec::encodeBegunStreams,
        )
    private val streamVersions =
        StreamVersions(
            settings.name,
            clock,
            scope,
            digestNetwork,
            { directory.snapshot },
            proof::ageMillis,
            toStore = begunStreamsWriter::add,
            provesView = mirror::proveCurrent,
        )
    private val servedVersionsWriter =
        ServedVersionsWriter(
            settings.name,
            store,
            { directory.snapshot },
            timers,
            PlatformKeys.SERVED_VERSIONS,
            PlatformItemCodec::encodeServedVersions,
            streamVersions::recordToStore,
        )
    private val reach =
        ReachMonitor(
            clock,
            timers,
            scope,
            services = {
                directory.snapshot.endpoints.values
                    .mapTo(HashSet()) { it.service }
            },
            usable = { directory.snapshot.usable(it) },
            canConnect = {
                endpointClient.canConnect(it.host, it.port, PlatformEndpointProtocol.CONNECT_TIMEOUT_MILLIS)
            },
        )
    private val passTargets =
        PassTargets(
            settings.domain,
            peers = { directory.snapshot.peers.values },
            digests = peerDigests::validDigests,
        )
    private val relay =
        CallRelay(
            directory,
            proof,
            rateLimiter,
            repeatBudgets,
            tracker,
            EndpointSender(
                endpointClient,
                PlatformEndpointProtocol,
                handovers,
                streamVersions,
                onReceived = reach::onReceived,
                onStatement = statements::record,
            ),
            handovers,
            quarantine,
            streamVersions,
            clock,
            { relayLimits },
            reach = reach,
            passer = CallPasser(peerClient, PlatformPassProtocol, reach, passTargets),
            onAnswer = versionRollouts?.let { it::onAnswer },
            stop = stop,
            awaitDisconnects = loopLag::awaitNextPass,
        )
    private val relayLimits = RelayLimits(maxKeyProofAgeMillis = bounds.keyWithdrawalMillis - KEY_CHECK_MARGIN_MILLIS)
    private val lease =
        RolloutLease(store, ageClock, PlatformKeys.ROLLOUT_LEASE, settings.name, bounds.orderLeaseMillis)
    private val rollout: WeightsRollout =
        WeightsRollout(
            directory,
            tracker,
            weightsControl,
            lease,
            timers,
            scope,
            settings.name,
            ageClock,
            weightsAgePolicy,
            isInTransfer = transfers::includes,
            onLoadingChanged = { digestSender.reportEngines(it) },
        )
    private val targetMomentsWriter =
        TargetMomentsWriter(
            store,
            timers,
            PlatformKeys.TARGET_MOMENTS,
            PlatformItemCodec::encodeTargetMoments,
            stored = { directory.snapshot.targetMoments },
            observed = directory::observedTargetMoments,
            holdsLease = { lease.fencingToken() != null },
        )
    private val digestSender: DigestSender =
        DigestSender(
            settings.name,
            directory,
            digestNetwork,
            timers,
            createDigest = ::createDigest,
            createReport = { engines ->
                EngineReport(
                    instance = settings.name,
                    weights = tracker.engineWeights(engines, rollout.loading),
                    validityMillis = InstanceDigest.MIN_VALIDITY_MILLIS,
                )
            },
            createTransferReport = transfers::report,
            createCrashNews = quarantine::news,
        )
    private val registration =
        LeasedInstanceRegistration(
            store,
            timers,
            PlatformKeys.INSTANCE_PREFIX + settings.name,
            PlatformItemCodec.encodePeer(settings.host, settings.internalPorts.first(), settings.domain),
        )
    private val callerServer = createServer(settings.callerListen, ::serve)

    /** Accepts calls that other instances pass on. */
    private val passedCallServer = createServer(internalAddress, ::servePassed)
    private val trafficReporter =
        TrafficReporter(timers, clock, { callerServer.requestsInFlight }) {
            BackgroundTraffic(
                digestsSent = digestNetwork.sent.total(),
                digestsReceived = digestNetwork.received.total(),
                storeResponses = store.responses.total(),
                storeFailures = store.failures,
                held = heldBytes.figures,
                requestBodies = requestBodies.figures,
            )
        }
    private val admissionReporter =
        AdmissionReporter(timers) {
            AdmissionFigures(
                quarantine.figures,
                tracker.limitFigures(),
                streamVersions.figures,
                tracker.outdatedWeightsFigures(),
                failures.total,
            )
        }
    private val speedReporter = SpeedReporter(timers, tracker::speedFigures)
    private val repeatReporter =
        RepeatReporter(
            timers,
            repeatBudgets::figures,
            endpointClient::skippedResponses,
            endpointClient::secondResponseTotals,
            {
                mapOf(
                    "endpoints" to endpointClient.malformedResponses,
                    "store" to storeClient.malformedResponses,
                    "instances" to peerClient.malformedResponses,
                )
            },
            callerServer::unansweredCloses,
        )
    private val streamReporter = StreamReporter(timers) { StreamTotals(relay.streamCuts, handovers.figures) }
    private val readinessServer = createServer(settings.readinessListen, ::answerReadiness)

    @Volatile
    private var draining = false

    /**
     * Opens the ports and starts to mirror the store.
     *
     * @throws BindException if an address is in use; the message names the address and its setting
     */
    suspend fun start() {
        directory.observe { snapshot ->
            snapshot.config?.let { rateLimiter.configure(it, snapshot.hotCustomers) }
            // The tracker uses the rules of the rollouts, which must know the endpoints before it does.
            versionRollouts?.onFleet(snapshot)
            tracker.onFleet(snapshot)
            quarantine.onFleet(snapshot)
            streamVersions.onFleet(snapshot)
            val instances = if (settings.name in snapshot.peers) snapshot.peers.size else 0
            repeatSharers.update(instances, clock.nowMillis())
        }
        directory.observeBegunStreams(streamVersions::onStored)
        loopLag.start()
        reach.start()
        listen("internalPorts", internalAddress) { digestNetwork.start() }
        listen("readinessListen", settings.readinessListen) { readinessServer.start() }
        listen("internalPorts", internalAddress) { passedCallServer.start() }
        listen("callerListen", settings.callerListen) { callerServer.start() }
        scope.launch { failures.keepRunning("mirror") { mirror.run() } }
        scope.launch { registration.start() }
        scope.launch { runMarker.start() }
        digestSender.start()
        blockListWriter.start()
        targetMomentsWriter.start()
        streamVersions.start(timers)
        servedVersionsWriter.start()
        begunStreamsWriter.start()
        timers.every("hot customers", HOT_CUSTOMERS_PERIOD_MILLIS) { storeHotCustomers() }
        rollout.start()
        versionRolloutAgent?.start()
        trafficReporter.start()
        admissionReporter.start()
        speedReporter.start()
        repeatReporter.start()
        streamReporter.start()
        logger.info {
            "router: started commit=${BuildInfo.commit} name=${settings.name} domain=${settings.failureDomain} " +
                "store=$storeAddress"
        }
    }

    private inline fun listen(
        setting: String,
        address: String,
        bind: () -> Unit,
    ) = try {
        bind()
    } catch (e: BindException) {
        throw BindException("$setting $address: ${e.message}").apply { initCause(e) }
    }

    /**
     * Fails the readiness probes until the platform's load balancer sends no more requests, and waits until all
     * requests that have begun to arrive have ended. Returns before the platform kills the process, which it does a set
     * time after [signal]. Calls that still run shortly before get an answer then.
     */
    suspend fun shutdown(signal: SignalTime = signalNow()) {
        val schedule = StopSchedule(signal, (bounds.shutdownSeconds * MILLIS_PER_SECOND).toLong())
        val endAtMillis = schedule.endAtMillis
        val beganMillis = clock.nowMillis() - signal.noticedMillis
        draining = true
        callerServer.beginDrain()
        passedCallServer.beginDrain()
        stop.begin(signal, schedule)
        logger.info {
            "router: stopping, requests in flight=${callerServer.requestsInFlight} maxLagMs=${signal.maxLagMillis} " +
                "beganMs=$beganMillis longCallsForMs=${schedule.longCallsUntilMillis - clock.nowMillis()} " +
                "lastAnswersInMs=${schedule.lastAnswersAtMillis - clock.nowMillis()}"
        }
        loopLag.resetLongest()
        // The store may be slow, and callers must not wait for it.
        val leases =
            scope.launch {
                rollout.stop()
                versionRolloutAgent?.stop()
            }
        delay(schedule.rotationLeftAtMillis - clock.nowMillis())
        val lastAnswers =
            scope.launch {
                delayAndRead(stop.callsEndAtMillis - clock.nowMillis())
                stop.endCalls()
            }
        coroutineScope {
            launch { passedCallServer.drain(endAtMillis - clock.nowMillis()) }
            callerServer.drain(endAtMillis - clock.nowMillis())
        }
        val servers = listOf(callerServer, passedCallServer)
        if (servers.any { it.requestsInFlight > 0 }) lastAnswers.join() else lastAnswers.cancel()
        withTimeoutOrNull(maxOf(endAtMillis - clock.nowMillis(), LEAVE_MILLIS)) {
            launch { registration.stop() }
            leases.join()
            while (servers.any { it.requestsInFlight > 0 }) delay(LAST_ANSWERS_POLL_MILLIS)
        }
        relay.logUnfinished()
        logger.info {
            "router: stopped, requests in flight=${callerServer.requestsInFlight} " +
                "connections=${callerServer.openConnections} tookMs=${clock.nowMillis() - signal.noticedMillis} " +
                "maxLagMs=${signal.maxLagMillis} longestLagMs=${loopLag.longestMillis} " +
                "longCalls=${stop.admittedLongCalls} " +
                "cut=${relay.streamCuts} handovers=${handovers.figures} callers=${callerServer.idleCloses} " +
                "instances=${passedCallServer.idleCloses}"
        }
    }

    /** Returns when a signal that is noticed now was sent. */
    fun signalNow(): SignalTime {
        val now = clock.nowMillis()
        return SignalTime(now - loopLag.unseenMillis.coerceAtMost(MAX_SIGNAL_LAG_MILLIS), now)
    }

    /** Ends the instance immediately, as in a crash. */
    override fun close() {
        scope.cancel()
        callerServer.close()
        passedCallServer.close()
        readinessServer.close()
        digestNetwork.close()
        group.shutdownGracefully(CLOSE_QUIET_MILLIS, CLOSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
    }

    private fun createServer(
        address: String,
        handler: suspend (ServerExchange) -> Unit,
    ): HttpServer {
        val listen = checkNotNull(HostPort.parse(address))
        return HttpServer(group, scope, listen.host, listen.port, ::httpLimits, heldBytes, requestBodies, handler)
    }

    private fun httpLimits(): HttpLimits {
        val limits = directory.snapshot.config?.limits ?: CallerLimits()
        return HttpLimits(
            maxBodyBytes = limits.maxBodyBytes,
            maxHeaderBytes = limits.maxHeaderBytes,
            maxLineBytes = limits.maxHeaderBytes,
            idleReadMillis = limits.idleTimeoutMillis,
        )
    }

    private suspend fun serve(exchange: ServerExchange) {
        decode(exchange)?.let { relay.handle(it, exchange) }
    }

    private suspend fun servePassed(exchange: ServerExchange) {
        val call = decode(exchange) ?: return
        val origin = PlatformPassProtocol.decodeOrigin(exchange)
        if (origin == null) {
            logger.warn { "router: id=${call.id} passed on with malformed headers" }
            exchange.respond(RelayRefusal.MALFORMED.status)
            return
        }
        relay.handle(call, PassedExchange(exchange, call.id), origin)
    }

    /** Responds with an error and returns null if the request is malformed. */
    private suspend fun decode(exchange: ServerExchange): InboundCall? {
        val call = PlatformRequestDecoder.decode(exchange, exchange.arrivedAtNanos / NANOS_PER_MILLI)
        if (call == null) {
            logger.warn { "router: malformed request ${exchange.method} ${exchange.path}" }
            exchange.respond(RelayRefusal.MALFORMED.status)
        }
        return call
    }

    private suspend fun answerReadiness(exchange: ServerExchange) {
        exchange.respond(if (isReady()) STATUS_READY else STATUS_NOT_READY)
    }

    private fun isReady() =
        !draining && directory.snapshot.config != null && proof.ageMillis() < READY_MAX_PROOF_AGE_MILLIS

    /**
     * Stores the customers that use most of their rate. Instances that start after all instances were lost at the same
     * time read them. Only the holder of the rollout lease writes.
     */
    private suspend fun storeHotCustomers() {
        val hotCustomers = rateLimiter.hotCustomers()
        if (lease.fencingToken() == null ||
            !hasRunForRateWindow() ||
            hotCustomers == directory.snapshot.hotCustomers
        ) {
            return
        }
        val write = StoreWrite(PlatformKeys.HOT_CUSTOMERS, PlatformItemCodec.encodeHotCustomers(hotCustomers))
        val result = store.commit(StoreTransaction(writes = listOf(write)))
        logger.info { "router: hot customers noted count=${hotCustomers.size} result=$result" }
    }

    private fun hasRunForRateWindow() = clock.nowMillis() - startedAtMillis > rateWindowMillis

    private fun createDigest(
        intervalMillis: Long,
        withWindowTotals: Boolean,
    ) = InstanceDigest(
        instance = settings.name,
        run = startedAtUnixMillis,
        number = 0,
        intervalMillis = intervalMillis,
        admittedTokens = rateLimiter.admittedTokens(),
        loads = tracker.ownLoads(),
        weights = tracker.engineNews(rollout.loading),
        prefills = tracker.takePrefills(),
        windowTotals = if (withWindowTotals && hasRunForRateWindow()) rateLimiter.windowTotals() else null,
        crashNews = quarantine.news(),
        limits = tracker.limitReports(),
        targets = directory.observedTargetAges(),
        leaving = directory.recentlyLeaving(),
        unreachable = servicesWithoutPassedCalls().map { it.value }.sorted(),
        speeds = tracker.takeSpeeds(),
        versions = versionRollouts?.tallies().orEmpty(),
        transfers = transfers.reportIfAny(),
        demands = rateLimiter.demands(),
    )

    private fun servicesWithoutPassedCalls(): Set<ServiceName> =
        if (draining) {
            directory.snapshot.config
                ?.services
                ?.keys
                .orEmpty()
        } else {
            reach.cutOffServices
        }

    private fun onDatagram(datagram: PeerDatagram) {
        datagram.digest?.let(::onDigest)
        datagram.engineReport?.let(tracker::onEngineReport)
        datagram.crashNews?.let(quarantine::onNews)
        datagram.transferReport?.let(transfers::onReport)
        datagram.streamMessage?.let(streamVersions::onMessage)
    }

    private fun onDigest(digest: InstanceDigest) {
        val result = peerDigests.accept(digest)
        if (result !is PeerDigests.AcceptResult.Updated) return
        rateLimiter.onDigest(digest, result.previous)
        tracker.onDigest(digest)
        versionRollouts?.onDigest(digest)
        directory.onTargetAges(digest.instance, digest.targets)
        directory.onLeaving(digest.leaving, source = digest.instance)
        digest.transfers?.let(transfers::onReport)
        digest.crashNews?.let(quarantine::onNews)
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000
        const val NANOS_PER_MILLI = 1_000_000L
        const val STATUS_READY = 200
        const val STATUS_NOT_READY = 503

        /** The mirror covers all keys, so that a single watch proves that all of them are current. */
        const val ALL_KEYS_PREFIX = ""

        /**
         * Time for which a watch call waits for changes. A longer wait reduces the number of calls, for which the
         * platform charges, but the contact proof can become this old between two calls. Together with the mirror's
         * interval between calls it stays below [RelayLimits.maxRefusalProofAgeMillis].
         */
        const val WATCH_WAIT_MILLIS: Long = 1_700

        /** Time that a request may take to reach its endpoint after the last check of its key. */
        const val KEY_CHECK_MARGIN_MILLIS: Long = 500

        /**
         * Slightly more than a watch call takes that fails, with the retry after it. An instance that receives no
         * response from the store for this time reports that it is not ready, before it has to refuse requests.
         */
        const val READY_MAX_PROOF_AGE_MILLIS: Long = 3_200

        /**
         * The platform's endpoints don't state idle timeouts below one second, so a connection without a stated timeout
         * is reused only within a short time.
         */
        const val ENDPOINT_IDLE_MILLIS: Long = 300
        const val STORE_IDLE_MILLIS: Long = 5_000

        /** Shorter than the time after which an instance closes the idle connection of another. */
        const val PEER_IDLE_MILLIS: Long = 1_000
        const val MAX_IDLE_PEER_CONNECTIONS: Int = 16

        /** A signal that waited longer leaves no time for a stop in good order. */
        const val MAX_SIGNAL_LAG_MILLIS: Long = 1_500

        /** Least time for the last answers, and to end the leases at the store. */
        const val LEAVE_MILLIS: Long = 200
        const val LAST_ANSWERS_POLL_MILLIS: Long = 10

        /** Time without tasks after which the event loops end, so that cancelled coroutines can complete on them. */
        const val CLOSE_QUIET_MILLIS: Long = 100
        const val CLOSE_TIMEOUT_MILLIS: Long = 1_000

        /** Instances that are cut off from the store go on with their part of budgets. */
        const val LOST_PEER_MEMORY_MILLIS: Long = 60_000

        /** About twice the time between two watch calls, after which instances that start together know each other. */
        const val PEER_DISCOVERY_MILLIS: Long = 1_500

        /** A flood of requests uses up the rate window of a customer within one or two seconds. */
        const val HOT_CUSTOMERS_PERIOD_MILLIS: Long = 1_000
    }
}
