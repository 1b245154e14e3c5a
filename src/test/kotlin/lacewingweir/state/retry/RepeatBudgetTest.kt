package lacewingweir.state.retry

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isTrue

internal class RepeatBudgetTest {
    /** Every request fails and is repeated as often as the budget allows, on all instances. */
    @Test
    fun `all instances together stay within the budget of the fleet`() {
        val instances = 8
        val budgets = List(instances) { RepeatBudget(windowMillis = 10_000, ratio = 0.2, extra = 56.0) }
        var repeats = 0
        val requests = 1_000
        repeat(requests) { n ->
            val budget = budgets[n % instances]
            budget.onRequest(n.toLong())
            if (budget.tryRepeat(n.toLong(), instances)) repeats++
        }
        expectThat(repeats.toDouble()).isLessThanOrEqualTo(0.2 * requests + 56)
    }

    @Test
    fun `an idle instance may still repeat a request`() {
        val budget = RepeatBudget(windowMillis = 10_000, ratio = 0.2, extra = 56.0)
        expectThat(budget.tryRepeat(0, 8)).isTrue()
    }
}
