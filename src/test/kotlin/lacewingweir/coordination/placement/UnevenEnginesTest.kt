package lacewingweir.coordination.placement

import lacewingweir.testing.EngineReplay
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isLessThan
import strikt.assertions.isTrue

/** Replays 98 engines, of which a third are 2.4 times as fast as the others, in front of 82 instances. */
internal class UnevenEnginesTest {
    private fun replay(
        learnSpeeds: Boolean,
        fast: Double = 1.7,
        slow: Double = 0.7,
    ): EngineReplay {
        val speeds = DoubleArray(98) { NOMINAL_TOKENS_PER_MILLI * if (it % 3 == 2) fast else slow }
        return EngineReplay(speeds, learnSpeeds, seed = 1).also { it.run(millis = 14_000, warmUpMillis = 6_000) }
    }

    private fun lateShare(millis: List<Double>) = millis.count { it > TARGET_MILLIS }.toDouble() / millis.size

    /**
     * Guards against slow engines that get as many tokens as fast ones, and against short prompts that wait behind long
     * ones. The target is 500 ms for 95 in 100.
     */
    @Test
    fun `most short prompts start in time at uneven engines`() {
        val learned = replay(learnSpeeds = true)
        val equal = replay(learnSpeeds = false)
        expectThat(learned.learned.isUneven).isTrue()
        expectThat(lateShare(learned.shortMillis)).isLessThan(0.05).isLessThan(lateShare(equal.shortMillis) / 2)
        expectThat(lateShare(learned.longMillis)).isLessThan(lateShare(equal.longMillis))
    }

    /** Guards against a change of placement in services whose engines are equally fast. */
    @Test
    fun `equal engines are chosen as without learned speeds`() {
        val learned = replay(learnSpeeds = true, fast = 1.0, slow = 1.0)
        expectThat(learned.learned.isUneven).isFalse()
        expectThat(learned.choices).isEqualTo(replay(learnSpeeds = false, fast = 1.0, slow = 1.0).choices)
    }

    private companion object {
        const val NOMINAL_TOKENS_PER_MILLI = 32.0
        const val TARGET_MILLIS = 500.0
    }
}
