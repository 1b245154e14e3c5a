package lacewingweir.cli.serve

import lacewingweir.coordination.routing.FleetEngineScheduler
import lacewingweir.protocol.operator.FleetReport
import lacewingweir.protocol.operator.InstanceReport
import lacewingweir.protocol.operator.PeerReport
import lacewingweir.protocol.operator.RefusedBundleReport
import lacewingweir.protocol.settings.Settings

/** Reports whether an instance is ready, in which ways it is degraded, and its view of the fleet. */
internal class Readiness(
    private val settings: Settings,
    private val fleet: () -> FleetComponents,
    private val scheduler: () -> FleetEngineScheduler,
    private val stopping: () -> Boolean,
) {
    /** Returns the reasons why the load balancer should not send requests here; empty if the instance is ready. */
    fun unreadyReasons(): List<String> =
        buildList {
            if (stopping()) add("stopping")
            if (fleet().bundles.current() == null) add("no bundle is known")
            if (!fleet().keys.fresh) add("key records can't be proved fresh")
        }

    /** Returns the names of the states that currently restrict the instance. */
    fun degraded(): List<String> =
        buildList {
            val components = fleet()
            if (components.poller.storeUnreachable) add("store-unreachable")
            if (components.membership.ageMillis() >= settings.limits.authorityMillis) add("rate-share-suspended")
            if (components.membership.current() == null) add("no-rate-share")
            if (!components.keys.fresh) add("keys-stale")
            scheduler().ejectedEndpoints().forEach { add("endpoint-ejected-here:$it") }
        }

    fun report(): FleetReport {
        val components = fleet()
        return FleetReport(
            instance = instanceReport(components),
            peers =
                components.membership
                    .livePeers()
                    .map(::peerReport)
                    .sortedBy { it.name },
            refusedBundles =
                components.bundles.refused().map {
                    RefusedBundleReport(it.number.value, it.operationId, it.source, it.reason)
                },
            degraded = degraded(),
        )
    }

    private fun instanceReport(components: FleetComponents): InstanceReport =
        InstanceReport(
            name = settings.name.value,
            failureDomain = settings.failureDomain.value,
            incarnation = components.network.self.incarnation.value,
            bundle = components.bundles.number.value,
            epoch = components.membership.document()?.epoch ?: 0,
            keyRecords = components.keys.weightedRecordCount,
            unreadyReasons = unreadyReasons(),
        )

    private fun peerReport(peer: lacewingweir.coordination.membership.LivePeer): PeerReport =
        PeerReport(
            name = peer.address.name.value,
            failureDomain = peer.address.failureDomain.value,
            host = peer.address.host,
            operatorPort = peer.address.operatorPort,
            bundle = peer.heartbeat.bundle.value,
            epoch = peer.heartbeat.epoch,
            ready = peer.heartbeat.ready,
            heartbeatAgeMillis = peer.ageMillis,
        )
}
