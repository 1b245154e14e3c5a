package lacewingweir.coordination.weights

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo

internal class MaxConcurrentLoadsTest {
    @Test
    fun `a quiet fleet loads half of its engines at once`() {
        expectThat(maxConcurrentLoads(engines = 6, running = 3)).isEqualTo(3)
        expectThat(maxConcurrentLoads(engines = 13, running = 3)).isEqualTo(7)
    }

    /** Load pattern: one engine is gone, one leaves and the others are half used. */
    @Test
    fun `a busy fleet keeps most of its engines`() {
        expectThat(maxConcurrentLoads(engines = 5, running = 20)).isEqualTo(2)
        expectThat(maxConcurrentLoads(engines = 13, running = 130)).isEqualTo(4)
    }

    /** Loads of 2 s, one batch after the other, must fit into 8 s at any size. */
    @Test
    fun `even a busy fleet finishes in time`() {
        for (engines in 1..700) {
            val batches =
                (engines + maxConcurrentLoads(engines, engines * 10) - 1) / maxConcurrentLoads(engines, engines * 10)
            expectThat(batches * 2.0).isLessThanOrEqualTo(8.0)
        }
    }
}
