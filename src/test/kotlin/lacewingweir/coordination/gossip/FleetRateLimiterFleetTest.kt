package lacewingweir.coordination.gossip

import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import kotlin.random.Random

/**
 * Plays fleets on simulated time whose instances are killed all together or one after the other, again and again. One
 * customer sends several times its rate, or less than its rate.
 */
internal class FleetRateLimiterFleetTest {
    private fun play(
        size: Int,
        demand: Double,
        together: Boolean,
        firstKillMillis: Long = FLOOD_MILLIS,
    ) = (1..SEEDS).map { seed ->
        val traffic =
            CustomerTraffic(PER_SECOND, TOKENS..TOKENS, { now -> if (now < FLOOD_MILLIS) QUIET_DEMAND else demand })
        val kills = Kills(together, firstKillMillis)
        FleetPlay(size, traffic, Random(seed), kills, measuredFromMillis = FLOOD_MILLIS).also {
            it.run()
            println(
                "size=$size demand=$demand together=$together kills from=$firstKillMillis seed=$seed " +
                    "use=${it.greatestUse()} admitted=${it.admittedShare()}",
            )
        }
    }

    @ParameterizedTest
    @ValueSource(ints = [4, 8, 84])
    fun `a customer that begins to flood a fleet that is killed again and again stays within its rate`(size: Int) {
        expectThat(play(size, FLOOD, together = true).maxOf { it.greatestUse() }).isLessThanOrEqualTo(1.0)
    }

    @ParameterizedTest
    @ValueSource(ints = [4, 8, 84])
    fun `a customer that floods before a fleet is killed again and again stays within its rate`(size: Int) {
        val plays = play(size, FLOOD, together = true, firstKillMillis = FLOOD_MILLIS + 10_000)
        expectThat(plays.maxOf { it.greatestUse() }).isLessThanOrEqualTo(1.0)
    }

    @ParameterizedTest
    @ValueSource(ints = [4, 8, 84])
    fun `a customer that floods while instances are killed one after the other stays within its rate`(size: Int) {
        expectThat(play(size, FLOOD, together = false).maxOf { it.greatestUse() }).isLessThanOrEqualTo(1.0)
    }

    @ParameterizedTest
    @ValueSource(ints = [4, 8])
    fun `a customer below its rate is served though a small fleet is killed again and again`(size: Int) =
        playBelowRate(size)

    @Test
    fun `a customer below its rate is served though a large fleet is killed again and again`() =
        playBelowRate(size = 84)

    private fun playBelowRate(size: Int) {
        expectThat(play(size, BELOW_RATE, together = true).minOf { it.admittedShare() }).isGreaterThan(0.85)
    }

    private companion object {
        const val PER_SECOND = 20_000.0
        const val TOKENS = 1_000L
        const val FLOOD = 4.0
        const val BELOW_RATE = 0.9
        const val QUIET_DEMAND = 0.3
        const val FLOOD_MILLIS = 12_000L
        const val SEEDS = 4
    }
}
