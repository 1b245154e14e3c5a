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
import strikt.assertions.isNotEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull

internal class EndpointBoardTest {
    private val timers = ManualTimers()
    private val rules = WeightsRules(SuspendAwareClock(timers, { 0 })) { 8_000 }
    private val board = EndpointBoard(timers, FLEET_DOMAIN, rules)
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
        board: EndpointBoard,
        loading: Set<EndpointId>,
    ) = InstanceDigest("peer", 1, 1, emptyMap(), board.ownLoads(), board.engineWeights(loading), board.recentReads())

    /** Peers that don't hear of a load keep sending prompts that the engine can only turn away. */
    @Test
    fun `an engine that loads for the first time is announced to the peers`() {
        val leader = EndpointBoard(timers, FLEET_DOMAIN, rules).also { it.onFleet(engineFleet("a", "b")) }
        board.onFleet(engineFleet("a", "b"))
        board.onDigest(digest(leader, loading = setOf(EndpointId("a"))))
        repeat(10) { expectThat(board.place(request())).isNotNull().get { endpoint.id.value }.isEqualTo("b") }
    }

    /** Load pattern: a busy fleet loads one engine after the other; each must serve again at once. */
    @Test
    fun `an engine that has loaded takes prompts as soon as its loader says so`() {
        val leader = EndpointBoard(timers, FLEET_DOMAIN, rules).also { it.onFleet(engineFleet("a")) }
        board.onFleet(engineFleet("a"))
        board.onDigest(digest(leader, loading = setOf(EndpointId("a"))))
        expectThat(board.place(request())).isNull()
        // The engine's own item says so first.
        board.onFleet(engineFleet("a", weights = 2))
        expectThat(board.place(request())).isNotNull()
        board.onDigest(digest(leader, loading = setOf(EndpointId("a"))))
        leader.setLoading(EndpointId("a"), loading = false, weights = WeightsNumber(2))
        board.onDigest(digest(leader, loading = emptySet()))
        expectThat(board.place(request())).isNotNull()
    }

    /** Load pattern: all engines load in turn and turn prompts away; ejecting them left the rest overloaded. */
    @Test
    fun `an engine that turns requests away is avoided for a moment and not ejected`() {
        board.onFleet(engineFleet("a"))
        repeat(5) {
            expectThat(board.place(request())).isNotNull().get { end(BookingOutcome.TURNED_AWAY) }
            expectThat(board.place(request())).isNull()
            timers.advance(260)
        }
        expectThat(board.place(request())).isNotNull()
    }

    /** Load pattern: new weights are named; an engine that is still to load them has to wait for long answers. */
    @Test
    fun `long answers go to engines that have the new weights already`() {
        val target = WeightsTarget(WeightsNumber(2), listOf(WeightsNumber(2) to ClockReading(timers.nowMillis(), 0)))
        board.onFleet(engineFleet("a", "b", target = target))
        board.setLoading(EndpointId("b"), loading = false, weights = WeightsNumber(2))
        val long = Prompt(FLEET_MODEL, 1_000, 400, prompt.parts)
        repeat(4) {
            val booking = board.place(PlacementRequest(FLEET_SERVICE, long, null, emptySet()))
            expectThat(booking).isNotNull().get { endpoint.id.value }.isEqualTo("b")
        }
    }

    /** Load pattern: a backlog lets some requests run out of patience while the engine serves others. */
    @Test
    fun `first tokens of other requests keep a busy engine from being ejected`() {
        board.onFleet(engineFleet("a", "b"))
        repeat(6) {
            val slow = board.place(request("b"))!!
            board.place(request("b"))!!.firstEvent()
            slow.end(BookingOutcome.FAILED)
        }
        expectThat(board.place(request("b"))).isNotNull().get { endpoint.id.value }.isEqualTo("a")
        val chosen =
            List(20) {
                board
                    .place(request())!!
                    .endpoint.id.value
            }
        expectThat(chosen.count { it == "a" }).isGreaterThan(0)
    }

    @Test
    fun `consecutive failures eject an engine`() {
        board.onFleet(engineFleet("a", "b"))
        repeat(2) { board.place(request("b"))!!.end(BookingOutcome.FAILED) }
        repeat(10) {
            expectThat(
                board
                    .place(request())!!
                    .endpoint.id.value,
            ).isEqualTo("b")
        }
    }

    @Test
    fun `what one instance had read is copied by another instance's engine`() {
        val peer = EndpointBoard(timers, FLEET_DOMAIN, rules).also { it.onFleet(engineFleet("a", "b")) }
        peer.place(request("b"))!!.firstEvent()
        board.onFleet(engineFleet("a", "b"))
        board.onDigest(digest(peer, emptySet()))
        // Engine a holds the prompt's beginning and is too busy to take it.
        repeat(20) { board.place(request("b")) }
        expectThat(board.place(request())).isNotNull().and {
            get { endpoint.id }.isEqualTo(EndpointId("b"))
            get { holder?.id }.isEqualTo(EndpointId("a"))
        }
    }

    @Test
    fun `a restarted engine holds nothing and keeps its weights`() {
        board.onFleet(engineFleet("a", "b"))
        board.place(request("b"))!!.apply {
            firstEvent()
            sawWeights(WeightsNumber(4))
        }
        board.onFleet(engineFleet("a", "b", startedAt = 2))
        expectThat(board.place(request("a"))!!.holder).isNull()
        expectThat(board.weightsOf(EndpointId("a"))).isEqualTo(WeightsNumber(4))
    }

    @Test
    fun `nothing is sent to weights that have been outdated for too long`() {
        val target = WeightsTarget(WeightsNumber(2), listOf(WeightsNumber(2) to ClockReading(timers.nowMillis(), 0)))
        board.onFleet(engineFleet("a", target = target))
        expectThat(board.place(request())).isNotNull()
        timers.advance(7_000)
        expectThat(board.place(request())).isNull()
        expectThat(board.weightsOf(EndpointId("a"))).isNotEqualTo(WeightsNumber(2))
    }
}
