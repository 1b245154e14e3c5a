package lacewingweir.benchmark

import kotlinx.serialization.json.Json
import lacewingweir.state.id.Incarnation
import lacewingweir.state.id.InstanceName
import lacewingweir.state.membership.EpochDecisions
import lacewingweir.state.membership.EpochDocument
import lacewingweir.state.membership.EpochPhase
import lacewingweir.state.membership.HeartbeatRounds
import lacewingweir.state.membership.MemberReport
import lacewingweir.state.membership.MembershipLimits

/** Measures the processor time of membership decisions and heartbeat rounds, and the size of the epoch document. */
internal fun main() {
    println("members  decisions us/pass  acknowledgements us/round  document bytes  report bytes/member")
    val limits = MembershipLimits()
    for (size in listOf(8, 64, 330)) {
        val names = (0 until size).map { InstanceName("entry-%04d".format(it)) }
        val document = EpochDocument(7, EpochPhase.ACTIVE, names, names)
        val pending = document.copy(phase = EpochPhase.PENDING)

        fun reports(): Map<InstanceName, MemberReport> =
            (0 until size).associate {
                val name = InstanceName("entry-%04d".format(it))
                name to MemberReport(name, Incarnation("run-$it"), 7, 7, true, 100_000, 90_000)
            }
        val (memberReports, bytes) = Measure.retainedBy { reports() }
        val decisionMicros =
            Measure.microsPerCall {
                check(
                    EpochDecisions.removalProposal(document, names.first(), memberReports, 0, 100_100, limits) == null,
                )
                checkNotNull(EpochDecisions.activationBasis(pending, memberReports, 100_100, limits))
                check(
                    EpochDecisions.joinProposal(
                        document,
                        names.first(),
                        memberReports,
                        60_000,
                        100_100,
                        limits,
                    ) == null,
                )
            }
        val roundMicros =
            Measure.microsPerCall {
                var rounds = HeartbeatRounds().start(1, 7, 100_000, names.first())
                for (name in names) {
                    rounds = rounds.acknowledge(1, 7, name)
                    val majorityRound = rounds.newestMajorityRound(document)
                    if (majorityRound != null) rounds = rounds.discardThrough(majorityRound.number)
                }
            }
        val text = Json.encodeToString(EpochDocument.serializer(), document)
        println("%7d %18.1f %26.1f %15d %20d".format(size, decisionMicros, roundMicros, text.length, bytes / size))
    }
}
