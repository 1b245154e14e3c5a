package lacewingweir.coordination.versions

import lacewingweir.coordination.gossip.InstanceDigest
import lacewingweir.coordination.gossip.VersionTally
import lacewingweir.state.versions.AnswerTally
import lacewingweir.state.versions.total
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan

/** Guards against bad answers of a target that peers never hear of because its service has many routes. */
internal class RolloutCountsTest {
    private fun digest(
        run: Long,
        versions: List<VersionTally>,
    ) = InstanceDigest("peer", run, 1, 250, emptyMap(), emptyList(), emptyList(), versions = versions)

    /** Twenty routes, on each of which the old version answered before the target did. */
    private val counts =
        RolloutCounts().apply {
            for (isTarget in listOf(false, true)) {
                for (route in 1..20) add(1, route, isTarget, AnswerTally(10, if (isTarget) 4 else 0, 1_000))
            }
        }

    @Test
    fun `the digest has all answers of a target on many routes`() {
        val tallies = counts.ownTallies()
        expectThat(tallies.filter { it.target }.sumOf { it.answers }).isEqualTo(200)
        expectThat(tallies.size).isLessThan(37)
        val evidence = counts.evidence(1)
        expectThat(evidence.values.count { it.target.answers != it.old.answers }).isEqualTo(0)
    }

    @Test
    fun `the answers that a restarted peer got on many routes are kept`() {
        val other = RolloutCounts()
        other.onDigest(digest(1, counts.ownTallies()))
        other.onDigest(digest(2, counts.ownTallies()))
        expectThat(other.evidence(1).total().target).isEqualTo(AnswerTally(400, 160, 40_000))
    }

    /** Guards against routes of one rollout that leave no room for the target of another. */
    @Test
    fun `a second rollout is counted as well`() {
        counts.add(2, 5, true, AnswerTally(1, 1, 100))
        expectThat(counts.ownTallies().single { it.rollout == 2 }.bad).isEqualTo(1)
    }
}
