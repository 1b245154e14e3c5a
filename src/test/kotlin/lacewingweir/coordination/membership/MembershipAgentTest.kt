package lacewingweir.coordination.membership

import lacewingweir.coordination.store.StoreEntry
import lacewingweir.state.id.InstanceName
import lacewingweir.state.membership.EpochPhase
import lacewingweir.state.membership.MembershipLimits
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isNull
import strikt.assertions.isTrue
import kotlin.random.Random

internal class MembershipAgentTest {
    // Guards against two processes that spend the same part of a rate. FaultSchedule defines the faults.
    @Test
    fun `the sum of spendable shares never exceeds the whole rate under random faults`() {
        val firstSeed = System.getProperty("membership.seed")?.toLong() ?: Random.nextLong()
        val runs = System.getProperty("membership.runs")?.toInt() ?: 30
        val counts = HashMap<String, Long>()
        for (seed in firstSeed until firstSeed + runs) {
            println("MembershipAgentTest seed $seed (-Dmembership.seed=$seed -Dmembership.runs=1)")
            FaultSchedule(seed).run().forEach { (name, count) -> counts.merge(name, count, Long::plus) }
        }
        println("MembershipAgentTest counts ${counts.toSortedMap()}")
        if (runs > 1) REQUIRED_EVENTS.forEach { expectThat(counts[it] ?: 0).describedAs(it).isGreaterThan(0) }
    }

    private fun activeFleet(
        random: Random,
        vararg names: String,
    ): FakeFleet {
        val fleet = FakeFleet(random, afterEvent = FaultSchedule::checkShares)
        names.forEach { fleet.start(it) }
        fleet.runFor(40_000)
        expectThat(fleet.ownedShares()).isEqualTo(FakeFleet.WHOLE_RATE_UNITS)
        return fleet
    }

    // Guards against a return to an earlier epoch after the store was restored from an older copy.
    @Test
    fun `the newer epoch is written back to a store that was restored to an older one`() {
        val fleet = activeFleet(Random(1), "a", "b", "c")
        val copy = fleet.store.entries.toMap()
        fleet.start("d")
        fleet.runFor(20_000)
        val newest = fleet.store.epoch()
        expectThat(newest?.members?.size).isEqualTo(4)
        fleet.store.entries.clear()
        fleet.store.entries.putAll(copy)
        fleet.runFor(20_000)
        expectThat(fleet.store.epoch()).isEqualTo(newest)
        expectThat(fleet.ownedShares()).isEqualTo(FakeFleet.WHOLE_RATE_UNITS)
    }

    // Guards against the creation of a first epoch while members still use the epoch that the store has lost.
    @Test
    fun `a lost epoch key is written back although a new instance reads no epoch`() {
        val fleet = activeFleet(Random(2), "a", "b", "c")
        val lostEpoch = fleet.store.epoch()
        fleet.store.entries.remove(EpochStore.KEY)
        val joiner = fleet.start("d")
        fleet.runFor(8_000)
        expectThat(fleet.store.epoch()?.epoch ?: 0).isGreaterThan((lostEpoch?.epoch ?: 0) - 1)
        fleet.runFor(20_000)
        expectThat(joiner.agent.current()).isEqualTo(BaseShare(fleet.store.epoch()?.epoch ?: 0, 4, false))
    }

    // Guards against buckets that start full again after a restart during the first epoch.
    @Test
    fun `only the first run of an instance in the first epoch starts full`() {
        val fleet = activeFleet(Random(3), "a", "b", "c")
        expectThat(fleet.processes.values.map { it.agent.current() })
            .isEqualTo(List(3) { BaseShare(1, 3, true) })
        val successor = fleet.start("b")
        fleet.runFor(10_000)
        expectThat(successor.agent.current()).isEqualTo(BaseShare(1, 3, false))
    }

    @Test
    fun `a leaving member passes its share to the others and the last member can leave too`() {
        val fleet = activeFleet(Random(4), "a", "b")
        val (a, b) = fleet.processes.values.toList()
        b.agent.leave()
        fleet.runFor(6_000)
        expectThat(b.agent.hasLeft()).isTrue()
        expectThat(a.agent.current()?.divisor).isEqualTo(1)
        a.agent.leave()
        fleet.runFor(6_000)
        expectThat(fleet.store.epoch()?.members).isEqualTo(emptyList())
        listOf(a, b).forEach { fleet.stop(it.name) }
        val c = fleet.start("c")
        fleet.runFor(20_000)
        expectThat(c.agent.current()?.divisor).isEqualTo(1)
    }

    // Guards against two runs of one name that both own its share, for example after a pause of the earlier run.
    @Test
    fun `a run that a later run has superseded owns no share`() {
        val fleet = activeFleet(Random(5), "a", "b")
        val a = fleet.processes.getValue(InstanceName("a"))
        val key = InstanceRegistration.PREFIX + "a"
        val record = fleet.store.entries.getValue(key)
        val laterRecord = record.value.decodeToString().replace(a.self.incarnation.value, "later")
        fleet.store.entries[key] = StoreEntry(key, laterRecord.toByteArray(), ++fleet.store.revision)
        fleet.runFor(3_000)
        expectThat(a.agent.current()).isNull()
        expectThat(a.agent.ageMillis()).isEqualTo(Long.MAX_VALUE)
    }

    // Guards against a lender that confirms an epoch while its loans still exceed its new share.
    @Test
    fun `an epoch stays pending until every member has reduced its share`() {
        val fleet = activeFleet(Random(6), "a", "b")
        fleet.processes.values.forEach { it.shrinkBlockedUntil = fleet.now + 30_000 }
        fleet.start("c")
        fleet.runFor(25_000)
        expectThat(fleet.store.epoch()?.phase).isEqualTo(EpochPhase.PENDING)
        fleet.runFor(15_000)
        expectThat(fleet.store.epoch()?.phase).isEqualTo(EpochPhase.ACTIVE)
        expectThat(fleet.ownedShares()).isEqualTo(FakeFleet.WHOLE_RATE_UNITS)
    }

    // Tests both values of voteOnUnanimity. If false, an epoch that may have been replaced must not be used again. If
    // true, the fleet must resume without the store.
    @Test
    fun `voteOnUnanimity decides whether a fleet resumes without the store after all but one restarted`() {
        for (unanimity in listOf(false, true)) {
            val limits = MembershipLimits(voteOnUnanimity = unanimity)
            val fleet = FakeFleet(Random(7), limits, FaultSchedule::checkShares)
            listOf("a", "b", "c").forEach { fleet.start(it) }
            fleet.runFor(20_000)
            fleet.store.downUntil = fleet.now + 40_000
            listOf("b", "c").forEach { fleet.start(it) }
            fleet.runFor(20_000)
            expectThat(fleet.ownedShares()).isEqualTo(if (unanimity) FakeFleet.WHOLE_RATE_UNITS else 0)
            fleet.runFor(40_000)
            expectThat(fleet.ownedShares()).isEqualTo(FakeFleet.WHOLE_RATE_UNITS)
        }
    }

    private companion object {
        val REQUIRED_EVENTS =
            listOf(
                MembershipEvent.JOIN_PROPOSED,
                MembershipEvent.REMOVAL_PROPOSED,
                MembershipEvent.LEAVE_PROPOSED,
                MembershipEvent.RACE_LOST,
                MembershipEvent.ANSWER_SETTLED,
                MembershipEvent.ACTIVATED_BY_ALL,
                MembershipEvent.ACTIVATED_BY_MAJORITY,
                MembershipEvent.SETTLED_BY_PEERS,
            ).map { it.name } +
                listOf(
                    FaultSchedule.MAJORITY_ONLY,
                    FaultSchedule.RESTART,
                    FaultSchedule.RESTART_ALL_BUT_ONE,
                    FaultSchedule.RESUMED_WITHOUT_PROOF,
                )
    }
}
