package lacewingweir.coordination.membership

import lacewingweir.coordination.peer.Heartbeat
import lacewingweir.coordination.peer.PeerAddress
import lacewingweir.state.id.InstanceName
import lacewingweir.state.membership.MemberReport
import java.util.concurrent.ConcurrentHashMap

/** The last heartbeat of each peer. */
internal class PeerReports {
    private class Heard(
        val address: PeerAddress,
        val heartbeat: Heartbeat,
        val report: MemberReport,
    )

    private val heard = ConcurrentHashMap<InstanceName, Heard>()

    /** Takes [heartbeat]. One that was overtaken by a later one of the same run is ignored. */
    fun take(
        from: PeerAddress,
        heartbeat: Heartbeat,
        nowMillis: Long,
    ) {
        heard.compute(from.name) { _, former ->
            val sameRun = former != null && former.address.incarnation == from.incarnation
            if (sameRun && former.heartbeat.number >= heartbeat.number) {
                former
            } else {
                val report =
                    MemberReport.following(
                        former?.report,
                        from.name,
                        from.incarnation,
                        heartbeat.epoch,
                        heartbeat.confirmedEpoch,
                        heartbeat.ready,
                        nowMillis,
                    )
                Heard(from, heartbeat, report)
            }
        }
    }

    fun all(): Map<InstanceName, MemberReport> = heard.mapValues { it.value.report }

    fun since(
        oldestMillis: Long,
        nowMillis: Long,
    ): List<LivePeer> =
        heard.values
            .filter { it.report.heardMillis >= oldestMillis }
            .map { LivePeer(it.address, it.heartbeat, nowMillis - it.report.heardMillis) }

    fun dropBefore(oldestMillis: Long) {
        heard.values.removeIf { it.report.heardMillis < oldestMillis }
    }
}
