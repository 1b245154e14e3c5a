package lacewingweir.coordination.weights

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo

internal class MaxConcurrentLoadsTest {
    @Test
    fun `a lightly loaded fleet loads half of its engines at once`() {
        expectThat(maxConcurrentLoads(engines = 6, running = 3)).isEqualTo(3)
        expectThat(maxConcurrentLoads(engines = 13, running = 3)).isEqualTo(7)
    }

    /** One engine has failed, one is leaving and the others are half utilized. */
    @Test
    fun `a busy fleet keeps most of its engines serving`() {
        expectThat(maxConcurrentLoads(engines = 5, running = 20)).isEqualTo(2)
        expectThat(maxConcurrentLoads(engines = 13, running = 130)).isEqualTo(4)
    }

    /** Sequential batches of 2 s must finish within 8 s for any number of engines. */
    @Test
    fun `a busy fleet loads all engines within 8 s`() {
        for (engines in 1..700) {
            val batches =
                (engines + maxConcurrentLoads(engines, engines * 10) - 1) / maxConcurrentLoads(engines, engines * 10)
            expectThat(batches * 2.0).isLessThanOrEqualTo(8.0)
        }
    }
}
