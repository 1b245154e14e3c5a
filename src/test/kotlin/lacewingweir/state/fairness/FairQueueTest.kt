package lacewingweir.state.fairness

import lacewingweir.state.bundle.TrafficClass
import lacewingweir.state.id.CustomerId
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isIn
import strikt.assertions.isTrue

internal class FairQueueTest {
    private val queue = FairQueue<String>()

    private fun add(
        item: String,
        customer: String,
        batch: Boolean = false,
        weight: Int = 1,
    ) {
        val trafficClass = if (batch) TrafficClass.BATCH else TrafficClass.INTERACTIVE
        queue.add(item, trafficClass, CustomerId(customer), weight, 1_000)
    }

    private fun drain(count: Int): List<String> = List(count) { checkNotNull(queue.pollFirst { true }) }

    // Guards against one customer's burst delaying the others.
    @Test
    fun `a burst of one customer does not delay the others`() {
        repeat(500) { add("flood-$it", "flood") }
        repeat(5) { add("small-$it", "small") }
        val small = drain(12).count { it.startsWith("small") }
        expectThat(small).isEqualTo(5)
    }

    // Guards against batch requests being starved by interactive ones, and against batch requests delaying those.
    @Test
    fun `batch requests get a tenth of the service`() {
        repeat(400) {
            add("i-$it", "a")
            add("b-$it", "b", batch = true)
        }
        val batch = drain(200).count { it.startsWith("b") }
        expectThat(batch).isIn(18..22)
    }

    @Test
    fun `customers are served by weight and in order of arrival`() {
        repeat(300) {
            add("x-$it", "x", weight = 3)
            add("y-$it", "y")
        }
        val served = drain(200)
        expectThat(served.count { it.startsWith("x") }).isIn(148..152)
        val order = served.filter { it.startsWith("x") }.map { it.removePrefix("x-").toInt() }
        expectThat(order).isEqualTo(order.sorted())
    }

    @Test
    fun `a first entry that is not accepted does not block other customers and is served later`() {
        add("blocked", "a")
        add("free", "b")
        expectThat(queue.pollFirst { it != "blocked" }).isEqualTo("free")
        expectThat(queue.pollFirst { true }).isEqualTo("blocked")
        expectThat(queue.size).isEqualTo(0)
    }

    @Test
    fun `a removed entry is not served`() {
        val item = "gone"
        add(item, "a")
        add("stays", "a")
        expectThat(queue.remove(item)).isTrue()
        expectThat(drain(1)).isEqualTo(listOf("stays"))
    }
}
