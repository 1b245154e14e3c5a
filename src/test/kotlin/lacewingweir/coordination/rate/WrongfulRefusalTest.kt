package lacewingweir.coordination.rate

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isLessThan

/**
 * Checks the target for wrongful refusals under uneven load balancing. `RateBenchmark` prints the results by seed and
 * customer.
 */
class WrongfulRefusalTest {
    @Test
    fun `at 90 percent of the rate fewer than one in a thousand requests is wrongfully refused`() {
        var requests = 0L
        var wrongful = 0L
        for (seed in 1L..8L) {
            val load = UnevenLoad(seed)
            UnevenLoadRun(load).execute().counts.forEachIndexed { i, count ->
                if (load.loads[i] < 1.0) {
                    requests += count.requests
                    wrongful += count.wrongful
                }
            }
        }
        println("WrongfulRefusalTest: $wrongful of $requests")
        expectThat(100.0 * wrongful / requests).isLessThan(0.1)
    }
}
