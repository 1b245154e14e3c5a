package lacewingweir.cli.serve

import lacewingweir.coordination.routing.FleetEngineScheduler
import lacewingweir.protocol.operator.FleetReport
import lacewingweir.protocol.operator.InstanceReport
import lacewingweir.protocol.operator.PeerReport
import lacewingweir.protocol.operator.RefusedBundleReport
import lacewingweir.protocol.settings.Settings

/** Tells whether an instance serves, in which respects it is degraded, and what it sees of the fleet. */
internal class Readiness(
    private val settings: Settings,
    private val fleet: () -> FleetComponents,
    private val scheduler: () -> FleetEngineScheduler,
    private val stopping: () -> Boolean,
) {
    /** Why the balancer should send nothing here; empty if the instance is ready. */
    fun unreadyReasons(): List<String> =
        buildList {
            if (stopping()) add("stopping")
            if (fleet().bundles.current() == null) add("no bundle is known")
            if (!fleet().keys.fresh) add("key records can't be proved fresh")
        }

    /** States in which the instance works in a restricted way, by name. */
    fun degraded(): List<String> =
        buildList {
            val parts = fleet()
            if (parts.poller.storeUnreachable) add("store-unreachable")
            if (parts.membership.ageMillis() >= settings.limits.authorityMillis) add("rate-share-suspended")
            if (parts.membership.current() == null) add("no-rate-share")
            if (!parts.keys.fresh) add("keys-stale")
            scheduler().ejectedEndpoints().forEach { add("endpoint-ejected-here:$it") }
        }

    fun report(): FleetReport {
        val parts = fleet()
        return FleetReport(
            instance = instanceReport(parts),
            peers =
                parts.membership
                    .livePeers()
                    .map(::peerReport)
                    .sortedBy { it.name },
            refusedBundles =
                parts.bundles.refused().map {
                    RefusedBundleReport(it.number.value, it.operationId, it.source, it.reason)
                },
            degraded = degraded(),
        )
    }

    private fun instanceReport(parts: FleetComponents): InstanceReport =
        InstanceReport(
            name = settings.name.value,
            failureDomain = settings.failureDomain.value,
            incarnation = parts.network.self.incarnation.value,
            bundle = parts.bundles.number.value,
            epoch = parts.membership.document()?.epoch ?: 0,
            keyRecords = parts.keys.weightedRecordCount,
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
