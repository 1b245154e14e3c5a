package lacewingweir.coordination.placement

import lacewingweir.coordination.fleet.WeightsTarget
import lacewingweir.state.fleet.Prompt
import lacewingweir.state.fleet.PromptPart
import lacewingweir.state.id.WeightsNumber
import lacewingweir.state.time.ClockReading
import lacewingweir.state.time.SuspendAwareClock
import lacewingweir.testing.FLEET_DOMAIN
import lacewingweir.testing.FLEET_MODEL
import lacewingweir.testing.FLEET_SERVICE
import lacewingweir.testing.ManualTimers
import lacewingweir.testing.engineFleet
import org.junit.jupiter.api.Tag
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isNotNull
import strikt.assertions.isNull

/** Placement on engines with outdated weights, on which calls may begin only until a bound. */
internal class OutdatedWeightsPlacementTest {
    private val timers = ManualTimers()
    private val weightsAgePolicy = WeightsAgePolicy(SuspendAwareClock(timers, { 0 })) { 8_000 }
    private val tracker = EndpointTracker(timers, FLEET_DOMAIN, weightsAgePolicy)
    private val target =
        WeightsTarget(WeightsNumber(2), listOf(WeightsNumber(2) to ClockReading(timers.nowMillis(), 0)))

    private fun request(tokens: Int) =
        PlacementRequest(
            FLEET_SERVICE,
            Prompt(FLEET_MODEL, tokens.toLong(), 10, listOf(PromptPart("p", tokens))),
            null,
            emptySet(),
        )

    /** Guards against calls that are sent in time to engines with outdated weights, and begin there after the bound. */
    @Test
    @Tag("known-red")
    fun `a prompt is not placed on outdated weights where its wait may end after the bound`() {
        tracker.onFleet(engineFleet("a", target = target))
        timers.advance(4_500)
        expectThat(tracker.place(request(tokens = 500))).isNotNull()
        // A quarter of a second each, as long as no speed was observed.
        repeat(12) { tracker.place(request(tokens = 10_000)) }
        expectThat(tracker.place(request(tokens = 500))).isNull()
    }
}
