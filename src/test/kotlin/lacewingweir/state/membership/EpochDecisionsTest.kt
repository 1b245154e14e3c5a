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
        heard: Long = 10_000,
        confirmedSince: Long? = 9_000,
    ) = MemberReport(InstanceName(name), Incarnation("1"), epoch, epoch, true, heard, confirmedSince)

    private fun reports(vararg all: MemberReport) = all.associateBy { it.name }

    private fun activation(
        now: Long,
        vararg all: MemberReport,
    ) = EpochDecisions.activationBasis(pending, reports(*all), now, limits)

    @Test
    fun `all old members or an old majority activate`() {
        expectThat(activation(10_000, report("a"), report("b"), report("c"))).isEqualTo(ActivationBasis.ALL_CONFIRMED)
        expectThat(activation(10_000, report("a"), report("b"))).isNull()
        val wait = limits.activationWaitMillis
        expectThat(wait).isEqualTo(10_600)
        val heard = 9_000 + wait - 1_000
        val two = arrayOf(report("a", heard = heard), report("b", heard = heard))
        expectThat(activation(9_000 + wait - 1, *two)).isNull()
        expectThat(activation(9_000 + wait, *two)).isEqualTo(ActivationBasis.MAJORITY_AFTER_WAIT)
    }

    // Guards against a vote of a former run, or for another epoch with the same or a higher number.
    @Test
    fun `stale confirmations and those of other epochs don't count`() {
        expectThat(activation(10_000, report("a"), report("b"), report("c", heard = 6_999))).isNull()
        expectThat(activation(10_000, report("a"), report("b"), report("c", epoch = 3))).isNull()
        expectThat(activation(10_000, report("a"), report("b"), report("c", confirmedSince = null))).isNull()
    }

    @Test
    fun `shares shrink to the smaller one while an epoch is pending`() {
        expectThat(pending.shareDivisor(names[0])).isEqualTo(4)
        expectThat(pending.shareDivisor(InstanceName("d"))).isNull()
        expectThat(active.shareDivisor(InstanceName("d"))).isEqualTo(4)
        val shrinking = EpochDocument(3, EpochPhase.PENDING, names, names.take(2))
        expectThat(shrinking.shareDivisor(names[0])).isEqualTo(3)
        expectThat(shrinking.confirmationDivisor(names[2])).isEqualTo(Int.MAX_VALUE)
    }

    // Guards against a deaf instance that removes everyone, and one that just woke from a pause.
    @Test
    fun `only the lowest live member that hears a majority removes the silent`() {
        val d = InstanceName("d")

        fun removal(
            self: String,
            observedSince: Long,
            vararg all: MemberReport,
        ) = EpochDecisions.removalProposal(active, InstanceName(self), reports(*all), observedSince, 10_000, limits)
        val heard = arrayOf(report("a"), report("b"), report("c"))
        expectThat(removal("a", 0, *heard)?.members).isEqualTo(names)
        expectThat(removal("b", 0, *heard)).isNull()
        expectThat(removal("a", 0, report("b"))).isNull()
        expectThat(removal("a", 1, *heard)).isNull()
        expectThat(removal("a", 0, *heard, report(d.value, heard = 1))).isNull()
    }

    // Guards against a proposal on top of a document that a restored store brought back.
    @Test
    fun `a joiner waits for a majority at the same epoch`() {
        val e = InstanceName("e")

        fun join(
            listened: Long,
            vararg all: MemberReport,
        ) = EpochDecisions.joinProposal(active, e, reports(*all), listened, 10_000, limits)
        expectThat(join(3_000, report("a"), report("b"), report("c"))?.members?.last()).isEqualTo(e)
        expectThat(join(3_000, report("a"), report("b"))).isNull()
        expectThat(join(10_000, report("a"), report("b"))?.epoch).isEqualTo(3)
        expectThat(join(10_000, report("a"), report("b"), report("c", epoch = 3))).isNull()
    }

    // Guards against an instance that can't start because its settings allow a shorter time than the default.
    @Test
    fun `every allowed authority time gives valid limits`() {
        for (authorityMillis in listOf(1_500L, 3_000L, 5_000L, 60_000L)) {
            expectThat(MembershipLimits.of(authorityMillis).authorityMillis).isEqualTo(authorityMillis)
        }
    }
}
