package lacewingweir.state.retry

import lacewingweir.testing.repeatBudgetOfOldRun
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isTrue

internal class RepeatBudgetTest {
    /** Every request fails and is repeated as often as the budget allows, on all instances. */
    @Test
    fun `all instances together stay within the budget of the fleet`() {
        val instances = 8
        val budgets = List(instances) { repeatBudgetOfOldRun(nowMillis = 0, ratio = 0.2, extra = 56.0) }
        var repeats = 0
        val requests = 1_000
        repeat(requests) { n ->
            val budget = budgets[n % instances]
            budget.onRequest(n.toLong())
            if (budget.tryReserve(n.toLong(), instances)) {
                budget.onRead(n.toLong())
                repeats++
            }
        }
        expectThat(repeats.toDouble()).isLessThanOrEqualTo(0.2 * requests + 56)
    }

    @Test
    fun `an idle instance may still repeat a request`() {
        expectThat(repeatBudgetOfOldRun(nowMillis = 0, ratio = 0.2, extra = 56.0).tryReserve(0, 8)).isTrue()
    }

    /** The run before it may have used the whole part of the instance. */
    @Test
    fun `an instance that has just started has no part of the extra repeats`() {
        val budget = RepeatBudget(windowMillis = 10_000, ratio = 0.2, extra = 56.0, startedAtMillis = 0)
        expectThat(budget.tryReserve(0, 8)).isFalse()
        expectThat(budget.tryReserve(5_000, 8)).isFalse()
        expectThat(budget.tryReserve(10_000, 8)).isTrue()
    }

    /** A fleet that starts for the first time serves its callers in full. */
    @Test
    fun `a new run that follows no other has its part once it knows its peers`() {
        val budget = RepeatBudget(windowMillis = 10_000, ratio = 0.2, extra = 56.0, startedAtMillis = 0) { false }
        expectThat(budget.tryReserve(2_000, instances = 0)).isFalse()
        expectThat(budget.tryReserve(2_000, instances = 8)).isTrue()
    }

    @Test
    fun `a new run earns repeats with its requests`() {
        val budget = RepeatBudget(windowMillis = 10_000, ratio = 0.2, extra = 0.0, startedAtMillis = 0)
        repeat(24) { budget.onRequest(100) }
        expectThat(budget.tryReserve(100, 8)).isFalse()
        budget.onRequest(100)
        expectThat(budget.tryReserve(100, 8)).isTrue()
    }

    /** An instance that has no peers on its list doesn't know how many share the budget. */
    @Test
    fun `an instance that knows no instances has only the part of its own requests`() {
        expectThat(
            repeatBudgetOfOldRun(nowMillis = 0, ratio = 0.2, extra = 56.0).usable(0, instances = 0),
        ).isEqualTo(0.0)
    }

    /** Guards against repeats that are granted within two windows and arrive within one. */
    @Test
    fun `a repeat that waits counts until a window after it was read`() {
        val budget = repeatBudgetOfOldRun(nowMillis = 0, extra = 2.0)
        expectThat(budget.tryReserve(0, 1)).isTrue()
        expectThat(budget.tryReserve(10_001, 1)).isFalse()
        budget.onRead(10_001)
        expectThat(budget.tryReserve(20_001, 1)).isFalse()
        expectThat(budget.tryReserve(20_002, 1)).isTrue()
    }

    @Test
    fun `a reserved repeat that is not sent is given back`() {
        val budget = repeatBudgetOfOldRun(nowMillis = 0, extra = 2.0)
        expectThat(budget.tryReserve(0, 1)).isTrue()
        budget.release()
        expectThat(budget.tryReserve(0, 1)).isTrue()
    }
}
