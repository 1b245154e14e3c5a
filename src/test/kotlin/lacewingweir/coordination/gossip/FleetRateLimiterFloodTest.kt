package lacewingweir.coordination.gossip

import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import kotlin.math.PI
import kotlin.math.sin
import kotlin.random.Random

/**
 * Plays fleets on simulated time in which no instance fails, digests arrive up to 1.2 s late and some are lost, and one
 * customer sends several times its rate. Guards against instances that use the same free tokens, since they don't know
 * of each other's admissions before the next digests, and against refusals below the rate.
 */
internal class FleetRateLimiterFloodTest {
    private fun play(
        size: Int,
        perSecond: Double,
        seed: Int,
        weight: (index: Int, nowMillis: Long) -> Double = { index, _ -> uneven(index) },
        demand: (nowMillis: Long) -> Double,
    ): FleetPlay {
        val traffic = CustomerTraffic(perSecond, REQUEST_TOKENS, demand, weight)
        // In a large fleet, the bytes of the digests determine how often they are sent.
        val intervalMillis = if (size < LARGE_FLEET) DigestSender.MIN_INTERVAL_MILLIS else LONGEST_INTERVAL_MILLIS
        return FleetPlay(
            size,
            traffic,
            Random(seed),
            digestLoss = DIGEST_LOSS,
            intervalMillis = intervalMillis,
            measuredFromMillis = FLOOD_MILLIS + WINDOW_MILLIS,
            playMillis = PLAY_MILLIS,
        ).also { it.run() }
    }

    /** A third of the instances gets most of the calls. */
    private fun uneven(index: Int) = if (index % 3 == 0) 5.0 else 1.0

    @ParameterizedTest
    @ValueSource(ints = [4, 8, 60, 84, 95])
    fun `a customer that begins to flood stays within its limit and gets most of it`(size: Int) {
        for (perSecond in RATES) {
            for ((usual, flood) in listOf(0.3 to 6.0, 0.5 to 4.0, 0.9 to 1.6, 0.9 to 6.0)) {
                val plays =
                    (1..SEEDS).map {
                        play(size, perSecond, it) { now ->
                            if (now <
                                FLOOD_MILLIS
                            ) {
                                usual
                            } else {
                                flood
                            }
                        }
                    }
                val use = plays.maxOf { it.greatestUse() }
                val share = plays.minOf { it.limitShare() }
                println("flood size=$size perSecond=$perSecond usual=$usual flood=$flood use=$use limitShare=$share")
                expectThat(use).isLessThan(1.0)
                expectThat(share).isGreaterThan(0.9)
            }
        }
    }

    /** Guards against digests that show too little of a sudden rise, so that too much is admitted until the next. */
    @ParameterizedTest
    @ValueSource(ints = [101, 102, 103, 104, 105, 106, 107, 108])
    fun `a customer that uses most of its rate and begins to flood stays within its limit`(seed: Int) {
        val play = play(size = 60, perSecond = 600_000.0, seed) { now -> if (now < FLOOD_MILLIS) 0.9 else 6.0 }
        println("flood size=60 seed=$seed use=${play.greatestUse()}")
        expectThat(play.greatestUse()).isLessThan(1.0)
    }

    @ParameterizedTest
    @ValueSource(ints = [4, 8, 60, 84, 95])
    fun `a customer whose floods last eight seconds stays within its limit`(size: Int) {
        for (perSecond in RATES) {
            val plays =
                (1..SEEDS).map {
                    play(size, perSecond, it) { now ->
                        if (now / WINDOW_MILLIS % 2 ==
                            0L
                        ) {
                            0.5
                        } else {
                            5.0
                        }
                    }
                }
            val use = plays.maxOf { it.greatestUse() }
            println("floods size=$size perSecond=$perSecond use=$use")
            expectThat(use).isLessThan(1.0)
        }
    }

    @ParameterizedTest
    @ValueSource(ints = [4, 8, 60, 84, 95])
    fun `a customer below its rate is served though its calls move between instances in waves`(size: Int) {
        for (perSecond in RATES) {
            val plays =
                (1..SEEDS).map {
                    play(
                        size,
                        perSecond,
                        seed = it,
                        weight = { index, now -> uneven(index) * (1.0 + 0.8 * wave(now, index % 3 / 3.0)) },
                        demand = { now -> 0.9 + 0.1 * wave(now, 0.0) },
                    )
                }
            val share = plays.minOf { it.admittedShare() }
            println("below size=$size perSecond=$perSecond share=$share")
            expectThat(share).isGreaterThan(0.97)
        }
    }

    private fun wave(
        nowMillis: Long,
        phase: Double,
    ) = sin((nowMillis / WAVE_MILLIS + phase) * 2 * PI)

    private companion object {
        const val WINDOW_MILLIS = 8_000L
        const val FLOOD_MILLIS = 20_000L
        const val PLAY_MILLIS = 50_000L
        const val WAVE_MILLIS = 12_000.0
        const val LARGE_FLEET = 60
        const val LONGEST_INTERVAL_MILLIS = 1_150L
        const val DIGEST_LOSS = 1.0 / 30
        const val SEEDS = 3
        val RATES = listOf(250_000.0, 600_000.0)
        val REQUEST_TOKENS = 2_000L..12_000L
    }
}
