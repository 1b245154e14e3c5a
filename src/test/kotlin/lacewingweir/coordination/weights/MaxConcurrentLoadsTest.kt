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

    /** Guards against a pace that ignores how late a rollout has begun. */
    @Test
    fun `engines near the end of their time are all loaded at once`() {
        for (engines in listOf(6, 13, 60, 700)) {
            for (remaining in listOf(900L, 0L, -5_000L)) {
                expectThat(maxConcurrentLoads(engines, engines * 10, List(engines) { remaining })).isEqualTo(engines)
            }
        }
    }

    @Test
    fun `a rollout that begins late loads larger batches`() {
        expectThat(maxConcurrentLoads(engines = 12, running = 120, List(12) { 6_500L })).isEqualTo(3)
        expectThat(maxConcurrentLoads(engines = 12, running = 120, List(12) { 4_000L })).isEqualTo(4)
        expectThat(maxConcurrentLoads(engines = 12, running = 120, List(12) { 2_200L })).isEqualTo(6)
    }

    /** Engines that became outdated only by a later target keep serving. */
    @Test
    fun `only those engines are loaded at once whose time ends`() {
        val remaining = List(5) { 100L } + List(7) { 6_000L }
        expectThat(maxConcurrentLoads(engines = 12, running = 120, remaining)).isEqualTo(7)
    }
}
