package lacewingweir.transport.http

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isFalse
import strikt.assertions.isTrue

internal class BufferBudgetTest {
    /** Guards against several large responses that together use up the memory. */
    @Test
    fun `buffers share the budget and return their part when they are closed`() {
        val budget = BufferBudget(100)
        val first = budget.reserve()
        val second = budget.reserve()
        expectThat(first.tryAdd(60)).isTrue()
        expectThat(second.tryAdd(60)).isFalse()
        expectThat(second.tryAdd(40)).isTrue()
        first.close()
        first.close()
        expectThat(second.tryAdd(60)).isTrue()
        expectThat(second.tryAdd(1)).isFalse()
    }
}
