package lacewingweir.transport.relay

import lacewingweir.coordination.placement.EndpointTracker
import lacewingweir.coordination.placement.PlacementRequest
import lacewingweir.coordination.placement.WeightsAgePolicy
import lacewingweir.state.id.RouteId
import lacewingweir.state.time.SuspendAwareClock
import lacewingweir.testing.FLEET_DOMAIN
import lacewingweir.testing.FLEET_SERVICE
import lacewingweir.testing.ManualTimers
import lacewingweir.testing.engineFleet
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull

/** Guards against evidence for which the instance's own network or the caller is the cause. */
internal class VersionAnswersTest {
    private val timers = ManualTimers()
    private val tracker =
        EndpointTracker(timers, FLEET_DOMAIN, WeightsAgePolicy(SuspendAwareClock(timers, { 0 })) { 8_000 })
            .also { it.onFleet(engineFleet("a")) }

    private fun expectAnswer(
        outcome: SendOutcome,
        failed: Boolean,
        unclear: Boolean,
        cutOff: Boolean = false,
    ) {
        val reservation = checkNotNull(tracker.place(PlacementRequest(FLEET_SERVICE, null, null, emptySet())))
        expectThat(versionAnswer(RouteId("r"), reservation, outcome, cutOff)).isNotNull().and {
            get { this.failed }.isEqualTo(failed)
            get { this.unclear }.isEqualTo(unclear)
        }
    }

    @Test
    fun `only what the endpoint broke off itself counts as failed`() {
        expectAnswer(SendOutcome.Broken("reset"), failed = true, unclear = false)
        expectAnswer(SendOutcome.Broken("out of time", outOfTime = true), failed = false, unclear = true)
        expectAnswer(SendOutcome.Broken("no answer", givenUp = true), failed = false, unclear = true)
        expectAnswer(SendOutcome.Broken("no data", ReceivedPart.EVENTS, stalled = true), failed = false, unclear = true)
        expectAnswer(SendOutcome.Broken("reset"), failed = false, unclear = true, cutOff = true)
        expectAnswer(SendOutcome.Delivered(200), failed = false, unclear = false, cutOff = true)
    }
}
