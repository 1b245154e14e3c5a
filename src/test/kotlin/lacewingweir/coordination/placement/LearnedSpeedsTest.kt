package lacewingweir.coordination.placement

import lacewingweir.coordination.fleet.FleetSnapshot
import lacewingweir.coordination.gossip.InstanceDigest
import lacewingweir.coordination.gossip.SpeedSample
import lacewingweir.state.id.EndpointTag
import lacewingweir.state.time.SuspendAwareClock
import lacewingweir.testing.FLEET_DOMAIN
import lacewingweir.testing.FLEET_SERVICE
import lacewingweir.testing.ManualTimers
import lacewingweir.testing.engineFleet
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import strikt.assertions.isTrue
import kotlin.random.Random

internal class LearnedSpeedsTest {
    private val timers = ManualTimers()
    private val endpoints = engineFleet("fast-1", "slow-1", "fast-2", "slow-2").endpoints

    /** Endpoints of a service without engines. */
    private val fleet = FleetSnapshot(null, emptyMap(), endpoints, emptyMap(), false, emptySet())
    private val observer = tracker()
    private val peer = tracker()

    private fun tracker(learnSpeeds: Boolean = true) =
        EndpointTracker(
            timers,
            FLEET_DOMAIN,
            WeightsAgePolicy(SuspendAwareClock(timers, { 0 })) { 8_000 },
            Random(1),
            learnSpeeds = learnSpeeds,
        ).also { it.onFleet(fleet) }

    private fun EndpointTracker.place() = place(PlacementRequest(FLEET_SERVICE, null, null, emptySet()))!!

    private fun digest(
        number: Long,
        speeds: List<SpeedSample>,
    ) = InstanceDigest("peer", 1, number, 250, emptyMap(), emptyList(), emptyList(), speeds = speeds)

    /** Sends calls through [observer] for 40 seconds. Slow endpoints take 300 ms, and fast ones 60 ms. */
    private fun observe() {
        for (number in 1L..160) {
            repeat(10) {
                val call = observer.place()
                val slow =
                    call.endpoint.id.value
                        .startsWith("slow")
                timers.after("call", if (slow) 300 else 60) { call.end(ReservationOutcome.SERVED) }
                timers.advance(25)
            }
            peer.onDigest(digest(number, observer.takeSpeeds()))
        }
    }

    /** Guards against a slow endpoint of a plain service that fills up as quickly as a fast one. */
    @Test
    fun `fast endpoints without engines get more calls, also from an instance that has only heard of them`() {
        observe()
        expectThat(
            peer
                .speedFigures()
                .values
                .single()
                .isUneven,
        ).isTrue()
        val chosen =
            List(100) {
                peer
                    .place()
                    .endpoint.id.value
            }
        expectThat(chosen.count { it.startsWith("fast") }).isGreaterThan(75)
    }

    @Test
    fun `without the setting nothing is learned or sent`() {
        val other = tracker(learnSpeeds = false)
        repeat(10) { other.place().end(ReservationOutcome.SERVED) }
        expectThat(other.takeSpeeds()).isEmpty()
        expectThat(other.speedFigures()).isEqualTo(emptyMap())
    }

    /** Guards against digests that grow with the load of an instance. */
    @Test
    fun `a digest has at most 64 samples`() {
        val call = List(100) { observer.place() }
        timers.advance(50)
        call.forEach { it.end(ReservationOutcome.SERVED) }
        expectThat(observer.takeSpeeds()).hasSize(64)
        expectThat(observer.takeSpeeds()).isEmpty()
    }

    @Test
    fun `a packed sample has the rounded values`() {
        val sample = SpeedSample.of(EndpointTag(-7), workUnits = 2_000, millis = 901, ageMillis = 1_203)
        expectThat(sample).isNotNull().and {
            get { endpoint }.isEqualTo(EndpointTag(-7))
            get { workUnits }.isEqualTo(2_000)
            get { millis }.isEqualTo(900)
            get { ageMillis }.isEqualTo(1_200)
        }
        expectThat(SpeedSample.of(EndpointTag(1), workUnits = 0, millis = 1, ageMillis = 1)).isNull()
        expectThat(SpeedSample.of(EndpointTag(1), 1, millis = 90_000, ageMillis = 90_000)?.millis).isEqualTo(16_380)
    }
}
