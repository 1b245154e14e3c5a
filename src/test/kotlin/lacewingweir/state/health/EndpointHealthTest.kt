package lacewingweir.state.health

import lacewingweir.state.retry.RetryBudget
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isTrue

internal class EndpointHealthTest {
    @Test
    fun `successive ejections last longer and are followed by a slow start`() {
        var health = EndpointHealth().onFailure(0)
        expectThat(health.isEjected(0)).isFalse()
        health = health.onFailure(0)
        expectThat(health.isEjected(500)).isTrue()
        val first = health.ejectedUntilMillis
        expectThat(health.slotShare(first + 100)).isLessThan(0.1)
        health = health.onFailure(first + 100)
        expectThat(health.ejectedUntilMillis - (first + 100)).isGreaterThan(first)
        expectThat(health.slotShare(health.ejectedUntilMillis + 10_000)).isEqualTo(1.0)
    }

    // Guards against a retry storm when many endpoints fail at once.
    @Test
    fun `retries are limited to about a tenth of the requests`() {
        var budget = RetryBudget()
        var retries = 0
        repeat(10_000) {
            budget = budget.onRequest(it / 10L)
            budget.tryRetry(it / 10L)?.let { spent ->
                budget = spent
                retries++
            }
        }
        expectThat(retries).isLessThan(1_100)
    }
}
