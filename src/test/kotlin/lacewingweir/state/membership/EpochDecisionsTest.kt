package lacewingweir.state.membership

import lacewingweir.state.id.Incarnation
import lacewingweir.state.id.InstanceName
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull

internal class EpochDecisionsTest {
    private val limits = MembershipLimits()
    private val names = listOf("a", "b", "c").map(::InstanceName)
    private val pending = EpochDocument(2, EpochPhase.PENDING, names, names + InstanceName("d"))
    private val active = pending.copy(phase = EpochPhase.ACTIVE)

    private fun report(
        name: String,
        epoch: Long = 2,
        heardMillis: Long = 10_000,
        confirmedSince: Long? = 9_000,
    ) = MemberReport(InstanceName(name), Incarnation("1"), epoch, epoch, true, heardMillis, confirmedSince)

    private fun reports(vararg all: MemberReport) = all.associateBy { it.name }

    private fun activation(
        now: Long,
        vararg all: MemberReport,
    ) = EpochDecisions.activationBasis(pending, reports(*all), now, limits)

    @Test
    fun `an epoch activates once all previous members or, after a wait, a majority have confirmed`() {
        expectThat(activation(10_000, report("a"), report("b"), report("c"))).isEqualTo(ActivationBasis.ALL_CONFIRMED)
        expectThat(activation(10_000, report("a"), report("b"))).isNull()
        val wait = limits.activationWaitMillis
        expectThat(wait).isEqualTo(10_600)
        val heardMillis = 9_000 + wait - 1_000
        val majority = arrayOf(report("a", heardMillis = heardMillis), report("b", heardMillis = heardMillis))
        expectThat(activation(9_000 + wait - 1, *majority)).isNull()
        expectThat(activation(9_000 + wait, *majority)).isEqualTo(ActivationBasis.MAJORITY_AFTER_WAIT)
    }

    // Guards against an activation by confirmations of an earlier run or of another epoch.
    @Test
    fun `outdated confirmations and confirmations of other epochs don't count`() {
        expectThat(activation(10_000, report("a"), report("b"), report("c", heardMillis = 6_999))).isNull()
        expectThat(activation(10_000, report("a"), report("b"), report("c", epoch = 3))).isNull()
        expectThat(activation(10_000, report("a"), report("b"), report("c", confirmedSince = null))).isNull()
    }

    @Test
    fun `an instance owns the smaller of its old and new share while an epoch is pending`() {
        expectThat(pending.shareDivisor(names[0])).isEqualTo(4)
        expectThat(pending.shareDivisor(InstanceName("d"))).isNull()
        expectThat(active.shareDivisor(InstanceName("d"))).isEqualTo(4)
        val shrinking = EpochDocument(3, EpochPhase.PENDING, names, names.take(2))
        expectThat(shrinking.shareDivisor(names[0])).isEqualTo(3)
        expectThat(shrinking.confirmationDivisor(names[2])).isEqualTo(Int.MAX_VALUE)
    }

    // Guards against the removal of live members by an instance that receives no heartbeats or has just resumed.
    @Test
    fun `only the live member with the lowest name that hears a majority removes silent members`() {
        val silentMember = InstanceName("d")

        fun removal(
            self: String,
            observedSince: Long,
            vararg all: MemberReport,
        ) = EpochDecisions.removalProposal(active, InstanceName(self), reports(*all), observedSince, 10_000, limits)
        val majority = arrayOf(report("a"), report("b"), report("c"))
        expectThat(removal("a", 0, *majority)?.members).isEqualTo(names)
        expectThat(removal("b", 0, *majority)).isNull()
        expectThat(removal("a", 0, report("b"))).isNull()
        expectThat(removal("a", 1, *majority)).isNull()
        expectThat(removal("a", 0, *majority, report(silentMember.value, heardMillis = 1))).isNull()
    }

    // Guards against a proposal based on an outdated document from a restored store.
    @Test
    fun `an instance joins only once a majority is at the same epoch or has been silent`() {
        val joiner = InstanceName("e")

        fun join(
            listenedMillis: Long,
            vararg all: MemberReport,
        ) = EpochDecisions.joinProposal(active, joiner, reports(*all), listenedMillis, 10_000, limits)
        expectThat(join(3_000, report("a"), report("b"), report("c"))?.members?.last()).isEqualTo(joiner)
        expectThat(join(3_000, report("a"), report("b"))).isNull()
        expectThat(join(10_000, report("a"), report("b"))?.epoch).isEqualTo(3)
        expectThat(join(10_000, report("a"), report("b"), report("c", epoch = 3))).isNull()
    }

    // Guards against a failure at startup if the configured authorityMillis is below the default maxReportAgeMillis.
    @Test
    fun `every allowed authorityMillis gives valid limits`() {
        for (authorityMillis in listOf(1_500L, 3_000L, 5_000L, 60_000L)) {
            expectThat(MembershipLimits.of(authorityMillis).authorityMillis).isEqualTo(authorityMillis)
        }
    }
}
