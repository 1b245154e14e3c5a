package lacewingweir.state.limit

import lacewingweir.state.id.EndpointTag
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo

internal class BrittleEndpointsTest {
    @Test
    fun `all instances together send no more requests at once than the endpoint runs`() {
        for (instances in 1..60) {
            for (slots in 1..50) {
                val names = List(instances) { "instance-$it" }
                val shares = names.map { slotShare(EndpointTag(7), slots, it, names.toSet() - it, instances) }
                expectThat(shares.sum()).isEqualTo(slots)
            }
        }
    }

    @Test
    fun `the refusals of all senders stay below what the endpoint survives`() {
        for (senders in listOf(1, 4, 48)) {
            val pauseMillis = pauseAfterRefusalMillis(slots = 48, slotShare = 48 / senders, refusalsPerSecond = 5.0)
            expectThat(senders * 1_000.0 / pauseMillis).isLessThanOrEqualTo(5.0)
        }
    }

    @Test
    fun `an instance that hears too few others still sends a little`() {
        expectThat(slotShare(EndpointTag(7), slots = 4, "a", heard = emptySet(), registered = 60)).isEqualTo(1)
        expectThat(slotShare(EndpointTag(7), slots = 12, "a", heard = emptySet(), registered = 3)).isEqualTo(4)
    }

    @Test
    fun `the pause at an endpoint that survives no refusal is bounded`() {
        expectThat(pauseAfterRefusalMillis(slots = 4, slotShare = 4, refusalsPerSecond = 0.0)).isEqualTo(4_000)
    }

    @Test
    fun `an instance that may not send anything pauses as one that has a slot`() {
        expectThat(pauseAfterRefusalMillis(slots = 4, slotShare = 0, refusalsPerSecond = 4.0)).isEqualTo(2_000)
    }
}
