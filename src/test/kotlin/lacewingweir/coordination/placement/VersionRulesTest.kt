package lacewingweir.coordination.placement

import lacewingweir.state.id.EndpointId
import lacewingweir.state.time.SuspendAwareClock
import lacewingweir.testing.FLEET_DOMAIN
import lacewingweir.testing.FLEET_SERVICE
import lacewingweir.testing.ManualTimers
import lacewingweir.testing.engineFleet
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull

internal class VersionRulesTest {
    private val timers = ManualTimers()
    private var accepted = setOf("a", "b")
    private var preferred = "b"
    private val placed = ArrayList<String>()
    private val rejected = ArrayList<Pair<String, Boolean>>()
    private val tracker =
        EndpointTracker(
            timers,
            FLEET_DOMAIN,
            WeightsAgePolicy(SuspendAwareClock(timers, { 0 })) { 8_000 },
            versionRules =
                VersionRules(
                    accepting = { _, _ -> { it.id.value in accepted } },
                    preferring = { { it.id.value == preferred } },
                    onPlaced = { placed += it.id.value },
                    onRejected = { endpoint, wasSent -> rejected += endpoint.id.value to wasSent },
                ),
        ).also { it.onFleet(engineFleet("a", "b", supportsHandover = true)) }
    private val request = PlacementRequest(FLEET_SERVICE, null, null, emptySet())

    /** Guards against calls that are refused because the endpoints of a new version are full. */
    @Test
    fun `calls go to other endpoints once those that are preferred are full`() {
        repeat(49) { tracker.place(request) }
        expectThat(placed).isEqualTo(ArrayList(List(48) { "b" } + "a"))
    }

    /** Guards against repeats, handovers and streams that pass by the rules or aren't counted. */
    @Test
    fun `the rules apply to all placements`() {
        val reservation = expectThat(tracker.place(request)).isNotNull().subject
        expectThat(tracker.placeForHandover(reservation, emptySet())?.endpoint?.id).isEqualTo(EndpointId("a"))
        expectThat(placed).isEqualTo(arrayListOf("b", "a"))
        accepted = setOf("b")
        expectThat(tracker.placeForHandover(reservation, emptySet())).isNull()
        accepted = emptySet()
        expectThat(tracker.place(request)).isNull()
        expectThat(tracker.hasUsable(request)).isEqualTo(false)
    }

    /** Guards against refused calls that count for the share of a new version. */
    @Test
    fun `calls that did not run are reported`() {
        for (outcome in ReservationOutcome.entries) tracker.place(request)?.end(outcome)
        expectThat(rejected).isEqualTo(arrayListOf("b" to true, "b" to true, "b" to false))
    }
}
