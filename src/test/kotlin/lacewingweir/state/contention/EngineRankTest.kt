package lacewingweir.state.contention

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan

internal class EngineRankTest {
    /** Guards against a burst of a less urgent route that delays the others of customers with the same priority. */
    @Test
    fun `routes order the requests of customers with the same priority under contention`() {
        val urgent = engineRank(customerPriority = 1, routePriority = 0, contended = true)
        val other = engineRank(customerPriority = 1, routePriority = 2, contended = true)
        expectThat(urgent).isLessThan(other)
    }

    /** Guards against a route that overrides what the operators set for a customer. */
    @Test
    fun `a customer's priority goes before that of the route`() {
        val preferred = engineRank(customerPriority = 0, routePriority = 2, contended = true)
        val other = engineRank(customerPriority = 1, routePriority = 0, contended = true)
        expectThat(preferred).isLessThan(other)
    }

    @Test
    fun `without contention the customer's priority or else the route's is the rank`() {
        expectThat(engineRank(customerPriority = 1, routePriority = 0, contended = false)).isEqualTo(1)
        expectThat(engineRank(customerPriority = null, routePriority = 2, contended = false)).isEqualTo(2)
    }
}
