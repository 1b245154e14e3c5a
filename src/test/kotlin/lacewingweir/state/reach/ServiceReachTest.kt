package lacewingweir.state.reach

import lacewingweir.state.id.EndpointTag
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue

/** Guards against calls that are passed on because of a few endpoints that are down, or are not although all are. */
internal class ServiceReachTest {
    private val reach = ServiceReach()

    private fun tags(count: Int) = (1..count).mapTo(HashSet()) { EndpointTag(it) }

    private fun fail(
        count: Int,
        of: Int,
        atMillis: (Int) -> Long = { 0 },
    ) = (1..count).forEach { reach.onUnreachable(EndpointTag(it), tags(of), atMillis(it)) }

    @Test
    fun `an instance isn't cut off while an endpoint was not tried`() {
        fail(2, of = 3)
        expectThat(reach.isCutOff).isFalse()
        expectThat(reach.untested(tags(3), 0)).isEqualTo(setOf(EndpointTag(3)))
    }

    @Test
    fun `an instance that can connect to none of a few endpoints is cut off until it connects to one`() {
        fail(3, of = 3)
        expectThat(reach.isCutOff).isTrue()
        reach.onConnected()
        expectThat(reach.isCutOff).isFalse()
        fail(2, of = 3)
        expectThat(reach.isCutOff).isFalse()
    }

    @Test
    fun `several of many endpoints are enough`() {
        fail(ServiceReach.EVIDENCE_ENDPOINTS - 1, of = 600)
        expectThat(reach.isCutOff).isFalse()
        fail(ServiceReach.EVIDENCE_ENDPOINTS, of = 600)
        expectThat(reach.isCutOff).isTrue()
    }

    @Test
    fun `endpoints that fail one after the other over a long time are not evidence`() {
        fail(3, of = 3) { it * ServiceReach.EVIDENCE_MILLIS }
        expectThat(reach.isCutOff).isFalse()
    }

    @Test
    fun `an endpoint that was removed is no evidence`() {
        fail(2, of = 3)
        reach.onUnreachable(EndpointTag(9), setOf(EndpointTag(8), EndpointTag(9)), 0)
        expectThat(reach.isCutOff).isFalse()
    }
}
