package lacewingweir.cli.serve

import io.prometheus.metrics.model.registry.PrometheusRegistry
import lacewingweir.coordination.bundle.BundleAgent
import lacewingweir.coordination.bundle.BundleCheckResult
import lacewingweir.coordination.keys.KeyAgent
import lacewingweir.coordination.membership.HeartbeatPayload
import lacewingweir.coordination.membership.MembershipAgent
import lacewingweir.coordination.peer.Heartbeat
import lacewingweir.coordination.peer.PeerAddress
import lacewingweir.coordination.rate.RateAgent
import lacewingweir.coordination.rate.RateMetrics
import lacewingweir.coordination.rate.RateSettings
import lacewingweir.coordination.routing.PlatformEndpointList
import lacewingweir.coordination.store.ConfigStore
import lacewingweir.coordination.store.StorePoller
import lacewingweir.protocol.bundle.BundleText
import lacewingweir.protocol.json.Validated
import lacewingweir.protocol.settings.Settings
import lacewingweir.state.id.Incarnation
import lacewingweir.state.membership.MembershipLimits
import lacewingweir.transport.peer.HostPort
import lacewingweir.transport.peer.KtorPeerNetwork
import lacewingweir.transport.store.EtcdConfigStore
import lacewingweir.transport.store.EtcdStoreSettings
import lacewingweir.transport.store.StoreAddress
import java.util.UUID

/**
 * Creates and connects the components of an instance that work together with the rest of the fleet.
 *
 * [ready] returns whether this instance is ready to serve. It is called for each heartbeat, which sends the
 * result to the peers.
 */
internal class FleetComponents(
    settings: Settings,
    private val runtime: InstanceRuntime,
    private val ready: () -> Boolean,
) : AutoCloseable {
    val store: ConfigStore = EtcdConfigStore(runtime.http, etcdSettings(settings), runtime.clock)

    val network: KtorPeerNetwork =
        KtorPeerNetwork(
            address =
                PeerAddress(
                    name = settings.name,
                    incarnation = Incarnation(UUID.randomUUID().toString()),
                    host = settings.peerListen.host,
                    peerPort = settings.peerListen.port,
                    operatorPort = settings.operatorListen.port,
                    failureDomain = settings.failureDomain,
                ),
            secret = settings.fleetSecret.value.encodeToByteArray(),
            seeds = settings.peerSeeds.map { HostPort(it.host, it.port) },
            parentScope = runtime.scope,
            clock = runtime.clock,
        )

    val bundles: BundleAgent =
        BundleAgent(store, network, runtime.timers, settings.bundleSigners, ::checkBundlePayload, runtime.registry)

    // The rate agent depends on the share and the proof of the membership agent, which calls the rate agent before it
    // confirms an epoch.
    val membership: MembershipAgent =
        MembershipAgent(
            network = network,
            store = store,
            timers = runtime.timers,
            clock = runtime.clock,
            heartbeatPayload = ::heartbeatPayload,
            shrinkCheck = { rates.hasShrunkTo(it) },
            limits = MembershipLimits.of(settings.limits.authorityMillis),
        )

    val rates: RateAgent =
        RateAgent(
            network = network,
            shares = membership,
            proof = membership,
            bundles = bundles,
            timers = runtime.timers,
            clock = runtime.clock,
            settings = RateSettings(authorityMillis = settings.limits.authorityMillis),
            metrics = RateMetrics(runtime.registry),
        )

    val keys: KeyAgent =
        KeyAgent(
            store = store,
            network = network,
            timers = runtime.timers,
            proof = membership,
            keyFreshnessMillis = settings.limits.keyFreshnessMillis,
            clock = runtime.clock,
            registry = runtime.registry,
        )

    val endpoints: PlatformEndpointList = PlatformEndpointList()
    val poller: StorePoller =
        StorePoller(store, runtime.timers, runtime.clock, { bundleOrShareMissing() }, runtime.registry)
    private val endpointPoller: StorePoller =
        StorePoller(
            store,
            runtime.timers,
            runtime.clock,
            // A separate registry, since the names of its metrics would collide with those of the main poller. The main
            // poller's metrics describe the store equally well.
            registry = PrometheusRegistry(),
            prefix = PlatformEndpointList.PREFIX,
        )

    private fun heartbeatPayload(): HeartbeatPayload =
        HeartbeatPayload(
            bundle = bundles.number,
            keyRecords = keys.weightedRecordCount,
            ready = ready(),
            rateHints = rates.rateHints(),
        )

    private fun bundleOrShareMissing(): Boolean = bundles.current() == null || membership.current() == null

    suspend fun start() {
        network.start()
        bundles.onAdopted(keys::onBundleAdopted)
        connectStorePoller()
        network.subscribe { from, message -> if (message is Heartbeat) onHeartbeat(from, message) }
        bundles.start()
        keys.start()
        membership.start()
        poller.start()
        endpointPoller.onEntry(endpoints::onStoreEntry)
        endpointPoller.start()
    }

    private fun connectStorePoller() {
        poller.onRegression {
            bundles.onStoreRegressed()
            keys.onStoreRegressed()
        }
        poller.onEntry { entry ->
            bundles.onStoreEntry(entry)
            keys.onStoreEntry(entry)
            membership.onStoreEntry(entry)
        }
        poller.onSuccess { sentAtMillis ->
            membership.recordStoreContact(sentAtMillis)
            bundles.onStorePolled()
            keys.onStorePolled()
        }
    }

    private fun onHeartbeat(
        from: PeerAddress,
        heartbeat: Heartbeat,
    ) {
        bundles.onPeerHeartbeat(from.name, heartbeat.bundle)
        keys.onPeerHeartbeat(from.name, heartbeat.keyRecords, heartbeat.ready)
    }

    override fun close() {
        membership.close()
        network.close()
    }

    private companion object {
        fun etcdSettings(settings: Settings): EtcdStoreSettings =
            EtcdStoreSettings(settings.storeAddresses.map { StoreAddress(it.host, it.port) })

        fun checkBundlePayload(payload: String): BundleCheckResult =
            when (val checked = BundleText.parse(payload)) {
                is Validated.Valid -> BundleCheckResult.Accepted(checked.value)
                is Validated.Invalid -> BundleCheckResult.Refused(checked.errors.map { it.toString() })
            }
    }
}
