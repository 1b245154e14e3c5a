package lacewingweir.coordination.placement

import lacewingweir.coordination.gossip.InstanceDigest
import lacewingweir.coordination.gossip.SpeedSample
import lacewingweir.state.fleet.Prompt
import lacewingweir.state.fleet.PromptPart
import lacewingweir.state.time.SuspendAwareClock
import lacewingweir.testing.FLEET_DOMAIN
import lacewingweir.testing.FLEET_MODEL
import lacewingweir.testing.FLEET_SERVICE
import lacewingweir.testing.ManualTimers
import lacewingweir.testing.engineFleet
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isTrue
import kotlin.random.Random

/** Guards against the speed of a new version that becomes the measure of its own answers. */
internal class ReferenceSpeedTest {
    private val timers = ManualTimers()
    private val fleet = engineFleet("old-1", "old-2", "new-1", "new-2")
    private var accepted = "old"
    private var prompts = 0

    private val tracker =
        EndpointTracker(
            timers,
            FLEET_DOMAIN,
            WeightsAgePolicy(SuspendAwareClock(timers, { 0 })) { 8_000 },
            Random(1),
            learnSpeeds = true,
            versionRules =
                VersionRules(
                    accepting = { _, _ -> { it.id.value.startsWith(accepted) } },
                    isReference = { it.id.value.startsWith("old") },
                ),
        ).also { it.onFleet(fleet) }

    private fun place(version: String): EndpointReservation {
        accepted = version
        return checkNotNull(tracker.place(PlacementRequest(FLEET_SERVICE, prompt(), null, emptySet())))
    }

    private fun prompt() = Prompt(FLEET_MODEL, 8_000, 10, listOf(PromptPart("p${prompts++}", 8_000)))

    /** Sends a peer's samples of 2,000 tokens, which take 50 ms at old engines and 400 ms at new ones. */
    private fun learn() {
        for (number in 1L..160) {
            timers.advance(400)
            val speeds =
                fleet.endpoints.values.mapNotNull {
                    val millis = if (it.id.value.startsWith("old")) 50L else 400L
                    SpeedSample.of(it.tag, workUnits = 31, millis = millis, ageMillis = 0)
                }
            tracker.onDigest(
                InstanceDigest("peer", 1, number, 250, emptyMap(), emptyList(), emptyList(), speeds = speeds),
            )
        }
    }

    @Test
    fun `the reference time of a slow engine is that of others`() {
        learn()
        expectThat(
            tracker
                .speedFigures()
                .values
                .single()
                .isUneven,
        ).isTrue()
        val old = place("old")
        val new = place("new")
        expectThat(new.expectedMillis).isGreaterThan(old.expectedMillis * 3)
        expectThat(new.referenceMillis).isEqualTo(old.referenceMillis)
    }

    @Test
    fun `the common speed doesn't follow a target`() {
        val before = place("new").also { it.end(ReservationOutcome.NOT_COUNTED) }.referenceMillis
        repeat(200) {
            val call = place("new")
            timers.advance(2_000)
            call.onFirstEvent()
            call.end(ReservationOutcome.SERVED)
        }
        expectThat(place("new").referenceMillis).isEqualTo(before)
    }
}
