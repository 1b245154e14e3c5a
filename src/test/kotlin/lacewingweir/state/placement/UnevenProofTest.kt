package lacewingweir.state.placement

import lacewingweir.testing.Disturbance
import lacewingweir.testing.SpeedSampleReplay
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotNull

internal class UnevenProofTest {
    /** Guards against speeds that are learned only when a rollout of weights is over. 440 prompts a second are sent. */
    @Test
    fun `a factor of 2,4 is proven within two seconds`() {
        val speeds = DoubleArray(98) { NOMINAL * if (it % 3 == 2) 1.7 else 0.7 }
        for (disturbance in Disturbance.entries) {
            for (seed in 1..4) {
                val replay = SpeedSampleReplay(speeds, instances = 82, load = 0.31, disturbance, seed)
                expectThat(replay.unevenAt(millis = 4_000))
                    .describedAs("$disturbance, seed $seed")
                    .isNotNull()
                    .isLessThanOrEqualTo(2_000)
            }
        }
    }

    /** Guards against waits behind unknown requests and slow phases that are taken for slow engines. */
    @Test
    fun `equal engines of a large fleet are never proven uneven`() = expectEven(engines = 98, instances = 82, seeds = 1)

    /** Guards against a verdict on the samples of few engines, one of which is in a slow phase all the time. */
    @Test
    fun `equal engines of small fleets are never proven uneven`() {
        expectEven(engines = 12, instances = 8, seeds = 4)
        expectEven(engines = 6, instances = 8, seeds = 8)
    }

    private fun expectEven(
        engines: Int,
        instances: Int,
        seeds: Int,
    ) {
        val cases = listOf(0.3, 0.7, 0.95).flatMap { load -> Disturbance.entries.map { load to it } }
        for ((load, disturbance) in cases) {
            for (seed in 1..seeds) {
                val replay = SpeedSampleReplay(DoubleArray(engines) { NOMINAL }, instances, load, disturbance, seed)
                expectThat(replay.unevenAt(millis = 60_000))
                    .describedAs("$engines engines, load $load, $disturbance, seed $seed")
                    .isEqualTo(null)
            }
        }
    }

    private companion object {
        const val NOMINAL = 48.0
    }
}
