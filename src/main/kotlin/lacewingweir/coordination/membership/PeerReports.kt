package lacewingweir.coordination.membership

import lacewingweir.coordination.peer.Heartbeat
import lacewingweir.coordination.peer.PeerAddress
import lacewingweir.state.id.InstanceName
import lacewingweir.state.membership.MemberReport
import java.util.concurrent.ConcurrentHashMap

/** The latest heartbeat of each peer. */
internal class PeerReports {
    private class Received(
        val address: PeerAddress,
        val heartbeat: Heartbeat,
        val report: MemberReport,
    )

    private val latest = ConcurrentHashMap<InstanceName, Received>()

    /** Records [heartbeat] unless a later one of the same run has already arrived. */
    fun record(
        from: PeerAddress,
        heartbeat: Heartbeat,
        nowMillis: Long,
    ) {
        latest.compute(from.name) { _, previous ->
            val sameRun = previous != null && previous.address.incarnation == from.incarnation
            if (sameRun && previous.heartbeat.number >= heartbeat.number) {
                previous
            } else {
                val report =
                    MemberReport.successorOf(
                        previous?.report,
                        from.name,
                        from.incarnation,
                        heartbeat.epoch,
                        heartbeat.confirmedEpoch,
                        heartbeat.ready,
                        nowMillis,
                    )
                Received(from, heartbeat, report)
            }
        }
    }

    fun all(): Map<InstanceName, MemberReport> = latest.mapValues { it.value.report }

    /** Returns the peers whose latest heartbeat arrived at [oldestMillis] or later. */
    fun livePeers(
        oldestMillis: Long,
        nowMillis: Long,
    ): List<LivePeer> =
        latest.values
            .filter { it.report.receivedAtMillis >= oldestMillis }
            .map { LivePeer(it.address, it.heartbeat, nowMillis - it.report.receivedAtMillis) }

    /** Removes the peers whose latest heartbeat arrived before [oldestMillis]. */
    fun evictBefore(oldestMillis: Long) {
        latest.values.removeIf { it.report.receivedAtMillis < oldestMillis }
    }
}
