package lacewingweir.coordination.placement

import lacewingweir.coordination.fleet.WeightsTarget
import lacewingweir.coordination.gossip.InstanceDigest
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
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isNotEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import strikt.assertions.isTrue

internal class EndpointTrackerTest {
    private val timers = ManualTimers()
    private val weightsAgePolicy = WeightsAgePolicy(SuspendAwareClock(timers, { 0 })) { 8_000 }
    private val tracker = EndpointTracker(timers, FLEET_DOMAIN, weightsAgePolicy)
    private val prompt = Prompt(FLEET_MODEL, 1_000, 10, listOf(PromptPart("a", 600), PromptPart("b", 400)))

    private fun request(vararg excluded: String) =
        PlacementRequest(
            FLEET_SERVICE,
            prompt,
            null,
            excluded.mapTo(HashSet()) {
                EndpointId(it)
            },
        )

    private fun digest(
        tracker: EndpointTracker,
        loading: Set<EndpointId>,
    ) = InstanceDigest(
        "peer",
        1,
        1,
        250,
        emptyMap(),
        tracker.ownLoads(),
        tracker.engineNews(loading),
        tracker.takePrefills(),
    )

    /** Guards against peers that keep sending prompts to a loading engine, which can only reject them. */
    @Test
    fun `the first load of an engine is announced to the peers`() {
        val leader = EndpointTracker(timers, FLEET_DOMAIN, weightsAgePolicy).also { it.onFleet(engineFleet("a", "b")) }
        tracker.onFleet(engineFleet("a", "b"))
        tracker.onDigest(digest(leader, loading = setOf(EndpointId("a"))))
        repeat(10) { expectThat(tracker.place(request())).isNotNull().get { endpoint.id.value }.isEqualTo("b") }
    }

    /** Guards against loaded engines staying unused while a busy fleet loads one engine after the other. */
    @Test
    fun `a loaded engine accepts prompts as soon as its item or its loader reports it`() {
        val leader = EndpointTracker(timers, FLEET_DOMAIN, weightsAgePolicy).also { it.onFleet(engineFleet("a")) }
        tracker.onFleet(engineFleet("a"))
        tracker.onDigest(digest(leader, loading = setOf(EndpointId("a"))))
        expectThat(tracker.place(request())).isNull()
        // The engine's own item reports the new weights first.
        tracker.onFleet(engineFleet("a", weights = 2))
        expectThat(tracker.place(request())).isNotNull()
        tracker.onDigest(digest(leader, loading = setOf(EndpointId("a"))))
        leader.setLoading(EndpointId("a"), loading = false, weights = WeightsNumber(2))
        tracker.onDigest(digest(leader, loading = emptySet()))
        expectThat(tracker.place(request())).isNotNull()
    }

    /** Guards against runs that are handed over to an engine that the next holder of the rollout lease loads. */
    @Test
    fun `the end of a load of the previous leader does not end the load of this instance`() {
        val leader = EndpointTracker(timers, FLEET_DOMAIN, weightsAgePolicy).also { it.onFleet(engineFleet("a")) }
        tracker.onFleet(engineFleet("a"))
        tracker.onDigest(digest(leader, loading = setOf(EndpointId("a"))))
        tracker.markLoading(listOf(EndpointId("a")))
        leader.setLoading(EndpointId("a"), loading = false, weights = WeightsNumber(2))
        tracker.onDigest(digest(leader, loading = emptySet()))
        expectThat(tracker.isDraining(EndpointId("a"))).isTrue()
    }

    /** Guards against ejecting engines that reject prompts while they load in turn, which overloaded the others. */
    @Test
    fun `an engine that rejects requests is avoided briefly and not ejected`() {
        tracker.onFleet(engineFleet("a"))
        repeat(5) {
            expectThat(tracker.place(request())).isNotNull().get { end(ReservationOutcome.REFUSED) }
            expectThat(tracker.place(request())).isNull()
            timers.advance(260)
        }
        expectThat(tracker.place(request())).isNotNull()
    }

    /** Guards against long answers that delay the load of new target weights on engines with outdated ones. */
    @Test
    fun `long answers go to engines that already have the target weights`() {
        val target = WeightsTarget(WeightsNumber(2), listOf(WeightsNumber(2) to ClockReading(timers.nowMillis(), 0)))
        tracker.onFleet(engineFleet("a", "b", target = target))
        tracker.setLoading(EndpointId("b"), loading = false, weights = WeightsNumber(2))
        val longPrompt = Prompt(FLEET_MODEL, 1_000, 400, prompt.parts)
        repeat(4) {
            val reservation = tracker.place(PlacementRequest(FLEET_SERVICE, longPrompt, null, emptySet()))
            expectThat(reservation).isNotNull().get { endpoint.id.value }.isEqualTo("b")
        }
    }

    /** Guards against ejecting a busy engine because some requests time out in its backlog while it serves others. */
    @Test
    fun `first tokens of other requests prevent the ejection of a busy engine`() {
        tracker.onFleet(engineFleet("a", "b"))
        repeat(6) {
            val slow = tracker.place(request("b"))!!
            tracker.place(request("b"))!!.onFirstEvent()
            slow.end(ReservationOutcome.FAILED)
        }
        expectThat(tracker.place(request("b"))).isNotNull().get { endpoint.id.value }.isEqualTo("a")
        val chosen =
            List(20) {
                tracker
                    .place(request())!!
                    .endpoint.id.value
            }
        expectThat(chosen.count { it == "a" }).isGreaterThan(0)
    }

    @Test
    fun `consecutive failures eject an engine`() {
        tracker.onFleet(engineFleet("a", "b"))
        repeat(2) { tracker.place(request("b"))!!.end(ReservationOutcome.FAILED) }
        repeat(10) {
            expectThat(
                tracker
                    .place(request())!!
                    .endpoint.id.value,
            ).isEqualTo("b")
        }
    }

    @Test
    fun `a prefix that was cached for one instance is copied for a request of another`() {
        val peer = EndpointTracker(timers, FLEET_DOMAIN, weightsAgePolicy).also { it.onFleet(engineFleet("a", "b")) }
        peer.place(request("b"))!!.onFirstEvent()
        tracker.onFleet(engineFleet("a", "b"))
        tracker.onDigest(digest(peer, emptySet()))
        // Engine a caches the prompt's prefix and is too busy to be chosen.
        repeat(20) { tracker.place(request("b")) }
        expectThat(tracker.place(request())).isNotNull().and {
            get { endpoint.id }.isEqualTo(EndpointId("b"))
            get { cacheSource?.id }.isEqualTo(EndpointId("a"))
        }
    }

    @Test
    fun `a restarted engine has an empty cache and keeps its weights`() {
        tracker.onFleet(engineFleet("a", "b"))
        tracker.place(request("b"))!!.apply {
            onFirstEvent()
            recordWeights(WeightsNumber(4))
        }
        tracker.onFleet(engineFleet("a", "b", startedAt = 2))
        expectThat(tracker.place(request("a"))!!.cacheSource).isNull()
        expectThat(tracker.weightsOf(EndpointId("a"))).isEqualTo(WeightsNumber(4))
    }

    @Test
    fun `nothing is sent to an engine whose weights have been outdated for too long`() {
        val target = WeightsTarget(WeightsNumber(2), listOf(WeightsNumber(2) to ClockReading(timers.nowMillis(), 0)))
        tracker.onFleet(engineFleet("a", target = target))
        expectThat(tracker.place(request())).isNotNull()
        timers.advance(7_000)
        expectThat(tracker.place(request())).isNull()
        expectThat(tracker.weightsOf(EndpointId("a"))).isNotEqualTo(WeightsNumber(2))
    }

    private fun limitDigest(
        from: EndpointTracker,
        number: Long = 1,
    ) = InstanceDigest("peer", 1, number, 250, emptyMap(), emptyList(), emptyList(), limits = from.limitReports())

    private fun EndpointTracker.stateLimit(
        id: String,
        perSecond: Double?,
    ) {
        val others = listOf("a", "b").filter { it != id }.toTypedArray()
        place(request(*others))!!.recordRequestLimit(perSecond)
    }

    @Test
    fun `an endpoint with a limit gets its requests per second, and the others get the rest`() {
        tracker.onFleet(engineFleet("a", "b"))
        tracker.stateLimit("a", 2.0)
        var sentToLimited = 0
        repeat(100) {
            timers.advance(100)
            if (tracker
                    .place(request())!!
                    .endpoint.id.value == "a"
            ) {
                sentToLimited++
            }
        }
        expectThat(sentToLimited).isLessThan(22)
    }

    @Test
    fun `an endpoint without a limit any more gets requests as before`() {
        tracker.onFleet(engineFleet("a"))
        val reservation = tracker.place(request())!!
        reservation.recordRequestLimit(1.0)
        expectThat(tracker.place(request())).isNull()
        expectThat(tracker.closedMillis(request())).isNotNull().isGreaterThan(900)
        reservation.recordRequestLimit(null)
        expectThat(tracker.place(request())).isNotNull()
        expectThat(tracker.closedMillis(request())).isNull()
    }

    @Test
    fun `peers learn of a limit and of its end from digests`() {
        val observer =
            EndpointTracker(
                timers,
                FLEET_DOMAIN,
                weightsAgePolicy,
            ).also { it.onFleet(engineFleet("a", "b")) }
        tracker.onFleet(engineFleet("a", "b"))
        observer.stateLimit("a", 1.0)
        timers.advance(200)
        tracker.onDigest(limitDigest(observer))
        repeat(10) { expectThat(tracker.place(request())).isNotNull().get { endpoint.id.value }.isEqualTo("b") }
        timers.advance(1_000)
        observer.stateLimit("a", null)
        tracker.onDigest(limitDigest(observer, number = 2))
        expectThat(tracker.place(request("b"))).isNotNull()
        expectThat(tracker.place(request("b"))).isNotNull()
    }

    /** Guards against peers that bring back a limit that has ended, by repeating what they heard before. */
    @Test
    fun `an older report does not replace what an endpoint stated later`() {
        val observer =
            EndpointTracker(
                timers,
                FLEET_DOMAIN,
                weightsAgePolicy,
            ).also { it.onFleet(engineFleet("a", "b")) }
        tracker.onFleet(engineFleet("a", "b"))
        observer.stateLimit("a", 1.0)
        timers.advance(500)
        tracker.stateLimit("a", null)
        tracker.onDigest(limitDigest(observer))
        repeat(3) { expectThat(tracker.place(request("b"))).isNotNull() }
    }

    @Test
    fun `a restarted endpoint has no limit`() {
        tracker.onFleet(engineFleet("a"))
        tracker.place(request())!!.recordRequestLimit(0.5)
        expectThat(tracker.place(request())).isNull()
        tracker.onFleet(engineFleet("a", startedAt = 2))
        expectThat(tracker.place(request())).isNotNull()
    }

    @Test
    fun `a running request is not handed over to an engine whose limit is used up`() {
        val fleet = engineFleet("a", "b", supportsHandover = true)
        tracker.onFleet(fleet)
        tracker.stateLimit("b", 1.0)
        val running = tracker.place(request("b"))!!
        expectThat(tracker.placeForHandover(running, emptySet())).isNull()
        timers.advance(1_100)
        expectThat(tracker.placeForHandover(running, emptySet())).isNotNull()
        expectThat(tracker.placeForHandover(running, emptySet())).isNull()
    }
}
