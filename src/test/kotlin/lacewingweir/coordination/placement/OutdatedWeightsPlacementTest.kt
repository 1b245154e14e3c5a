package lacewingweir.coordination.placement

import lacewingweir.coordination.fleet.WeightsTarget
import lacewingweir.state.fleet.Prompt
import lacewingweir.state.fleet.PromptPart
import lacewingweir.state.id.EndpointId
import lacewingweir.state.id.WeightsNumber
import lacewingweir.state.time.ClockReading
import lacewingweir.state.time.SuspendAwareClock
import lacewingweir.testing.FLEET_DOMAIN
import lacewingweir.testing.FLEET_MODEL
import lacewingweir.testing.FLEET_SERVICE
import lacewingweir.testing.ManualTimers
import lacewingweir.testing.engineFleet
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isIn
import strikt.assertions.isLessThan
import strikt.assertions.isNotNull
import strikt.assertions.isNull

/** Placement on engines with outdated weights, on which calls may begin only until a bound. */
internal class OutdatedWeightsPlacementTest {
    private val timers = ManualTimers()
    private val weightsAgePolicy = WeightsAgePolicy(SuspendAwareClock(timers, { 0 })) { 8_000 }
    private val tracker = EndpointTracker(timers, FLEET_DOMAIN, weightsAgePolicy)
    private val target =
        WeightsTarget(WeightsNumber(2), listOf(WeightsNumber(2) to ClockReading(timers.nowMillis(), 0)))

    private fun request(
        tokens: Int,
        vararg excluded: String,
        usableMillis: Double = Double.POSITIVE_INFINITY,
    ) = PlacementRequest(
        FLEET_SERVICE,
        Prompt(FLEET_MODEL, tokens.toLong(), 10, listOf(PromptPart("p", tokens))),
        null,
        excluded.mapTo(HashSet()) { EndpointId(it) },
        usableMillis = usableMillis,
    )

    /** Guards against calls that are sent in time to engines with outdated weights, and begin there after the bound. */
    @Test
    fun `a prompt is not placed on outdated weights where its wait may end after the bound`() {
        tracker.onFleet(engineFleet("a", target = target))
        timers.advance(4_500)
        expectThat(tracker.place(request(tokens = 500))).isNotNull()
        // A queue from before the newer weights, of a quarter of a second each, as long as no speed was observed.
        tracker.onFleet(engineFleet("a"))
        repeat(12) { expectThat(tracker.place(request(tokens = 10_000))).isNotNull() }
        tracker.onFleet(engineFleet("a", target = target))
        expectThat(tracker.place(request(tokens = 500))).isNull()
    }

    /** Guards against calls that are withdrawn near the bound although engines with new weights had room. */
    @Test
    fun `new weights are preferred in spite of a longer queue the closer the bound is`() {
        tracker.onFleet(engineFleet("a", "b", target = target))
        tracker.setLoading(EndpointId("b"), loading = false, weights = WeightsNumber(2))
        timers.advance(2_000)
        // Six tenths of a second, as long as no speed was observed.
        tracker.place(request(tokens = 24_000, "a"))
        expectThat(tracker.place(request(tokens = 500))).isNotNull().get { endpoint.id.value }.isEqualTo("a")
        timers.advance(4_000)
        expectThat(tracker.place(request(tokens = 500))).isNotNull().get { endpoint.id.value }.isEqualTo("b")
    }

    /** Guards against a preference that refuses callers who could be served in time. */
    @Test
    fun `a request goes to outdated weights if only they serve it in time`() {
        tracker.onFleet(engineFleet("a", "b", target = target))
        tracker.setLoading(EndpointId("b"), loading = false, weights = WeightsNumber(2))
        timers.advance(6_000)
        tracker.place(request(tokens = 24_000, "a"))
        val placed = tracker.place(request(tokens = 500, usableMillis = 300.0))
        expectThat(placed).isNotNull().and {
            get { endpoint.id.value }.isEqualTo("a")
            get { expectedMillis }.isLessThan(300.0)
        }
    }

    @Test
    fun `the time left to begin is that to the bound less a margin, and null for new weights`() {
        val outdated = WeightsNumber(1)
        val atFirst = weightsAgePolicy.remainingMillis(outdated, target)
        expectThat(atFirst).isNotNull().isIn(5_000L..7_900L)
        timers.advance(8_000)
        expectThat(weightsAgePolicy.remainingMillis(outdated, target)).isEqualTo(atFirst!! - 8_000)
        expectThat(weightsAgePolicy.remainingMillis(target.weights, target)).isNull()
        expectThat(weightsAgePolicy.remainingMillis(outdated, null)).isNull()
    }
}
