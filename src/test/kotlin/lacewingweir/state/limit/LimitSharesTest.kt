package lacewingweir.state.limit

import lacewingweir.state.id.EndpointId
import lacewingweir.state.id.EndpointTag
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo
import kotlin.random.Random

/** Tests the sum of what the instances of a fleet send to an endpoint with a limit. */
internal class LimitSharesTest {
    private val endpoint = EndpointTag.of(EndpointId("i-1"), 1)
    private val limits = listOf(0.0, 0.3, 1.0, 1.2, 3.7, 10.0, 60.0, 400.0)

    private fun names(count: Int) = (0 until count).map { "front-$it" }

    private fun share(
        limit: Double,
        self: String,
        all: Collection<String>,
        registered: Int = all.size,
    ) = limitShare(endpoint, limit, self, all.toSet() - self, registered)

    @ParameterizedTest
    @ValueSource(ints = [1, 2, 6, 8, 63, 84, 330])
    fun `shares add up to the limit, and each sender can send once a second`(instances: Int) {
        val all = names(instances)
        for (limit in limits.filter { it >= 0.25 }) {
            val shares = all.map { share(limit, it, all) }.filter { it > 0.0 }
            expectThat(shares.sum()).isGreaterThan(limit * 0.999).isLessThan(limit * 1.001)
            expectThat(shares.min()).isGreaterThanOrEqualTo(minOf(1.0, limit))
        }
    }

    @Test
    fun `an instance that leaves replaces at most one sender`() {
        val all = names(84)
        val before = all.filter { share(10.0, it, all) > 0.0 }.toSet()
        for (gone in all) {
            val rest = all - gone
            val after = rest.filter { share(10.0, it, rest, registered = 84) > 0.0 }.toSet()
            expectThat((after - before).size).isEqualTo(if (gone in before) 1 else 0)
        }
    }

    @Test
    fun `endpoints with equal limits have different senders`() {
        val all = names(8)
        val senders =
            (0 until 40).map { n ->
                val tag = EndpointTag.of(EndpointId("i-$n"), 1)
                all.single { limitShare(tag, 1.0, it, all.toSet() - it, 8) > 0.0 }
            }
        expectThat(senders.toSet().size).isGreaterThan(5)
    }

    @Test
    fun `instances that hear nobody take equal shares`() {
        val all = names(84)
        expectThat(all.sumOf { limitShare(endpoint, 1.0, it, emptySet(), registered = 84) }).isLessThan(1.001)
    }

    /** Instances come, go, freeze and return, and notice it up to three seconds late, each at another time. */
    @ParameterizedTest
    @ValueSource(ints = [6, 8, 63, 84])
    fun `an endpoint gets at most what the platform allows in any four seconds while the fleet changes`(fleet: Int) {
        for (limit in limits) {
            repeat(SEEDS) { seed -> play(fleet, limit, Random(seed)) }
        }
    }

    private fun play(
        fleet: Int,
        limit: Double,
        random: Random,
    ) {
        val all = names(fleet)
        val gone = HashMap<String, Long>()
        val tokens = all.associateWith { RequestTokens(startMillis = 0) }
        val noticedAfter = all.associateWith { self -> all.associateWith { random.nextLong(1_000, 3_000) } }
        val sent = ArrayList<Long>()
        for (now in 0 until PLAY_MILLIS step STEP_MILLIS) {
            if (now % CHANGE_MILLIS == 0L && now > 0) {
                gone.values.removeIf { now - it > 2 * CHANGE_MILLIS }
                gone[all.random(random)] = now
            }
            for (self in all.filterNot { it in gone }) {
                val heard =
                    all.filterTo(HashSet()) { other ->
                        val goneAt = gone[other]
                        goneAt == null || now - goneAt < noticedAfter.getValue(self).getValue(other)
                    } - self
                val perSecond = limitShare(endpoint, limit, self, heard, fleet)
                while (tokens.getValue(self).millisUntilAvailable(perSecond, now) == 0L) {
                    tokens.getValue(self).take(perSecond, now)
                    sent += now
                }
            }
        }
        expectThat(mostInWindow(sent).toDouble())
            .describedAs("requests in 4 s, limit $limit/s, $fleet instances")
            .isLessThanOrEqualTo(1.5 * limit * WINDOW_MILLIS / 1_000 + 5)
        if (limit >= 1.0) expectThat(sent.size).isGreaterThan((0.7 * limit * PLAY_MILLIS / 1_000).toInt())
    }

    private fun mostInWindow(sorted: List<Long>): Int {
        var first = 0
        return sorted.indices.maxOfOrNull { last ->
            while (sorted[first] <= sorted[last] - WINDOW_MILLIS) first++
            last - first + 1
        } ?: 0
    }

    private companion object {
        const val SEEDS = 2
        const val PLAY_MILLIS = 24_000L
        const val STEP_MILLIS = 100L
        const val CHANGE_MILLIS = 4_000L
        const val WINDOW_MILLIS = 4_000L
    }
}
