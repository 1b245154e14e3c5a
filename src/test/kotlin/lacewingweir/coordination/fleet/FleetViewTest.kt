package lacewingweir.coordination.fleet

import lacewingweir.coordination.peer.FakePeers
import lacewingweir.coordination.peer.Heartbeat
import lacewingweir.state.id.BundleNumber
import lacewingweir.state.id.InstanceName
import lacewingweir.testing.ManualTimers
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty

internal class FleetViewTest {
    // Guards against an operator who takes a dead instance for a live one.
    @Test
    fun `peers are live while connected and heard of`() {
        val peers = FakePeers()
        val timers = ManualTimers()
        val heard = ArrayList<Int>()
        val view = FleetView(peers.join("a"), timers) { _, heartbeat -> heard.add(heartbeat.keyRecords) }
        view.start()
        val b = peers.join("b")
        b.send(InstanceName("a"), Heartbeat(1, 1, 1, BundleNumber(3), 7, true))
        timers.advance(1_000)
        expectThat(view.livePeers().map { it.address.name.value to it.ageMillis }).containsExactly("b" to 1_000L)
        expectThat(heard).containsExactly(7)
        peers.cutOff.add("b")
        expectThat(view.livePeers()).isEmpty()
        peers.cutOff.clear()
        timers.advance(4_100)
        expectThat(view.livePeers()).isEmpty()
    }
}
