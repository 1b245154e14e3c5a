/** What an instance knows of its peers from their heartbeats. */
package lacewingweir.coordination.fleet

import lacewingweir.coordination.peer.Heartbeat
import lacewingweir.coordination.peer.PeerAddress
import lacewingweir.coordination.peer.PeerNetwork
import lacewingweir.state.id.InstanceName
import lacewingweir.state.time.MonotonicClock
import java.util.concurrent.ConcurrentHashMap

/** Keeps the last heartbeat of each peer and passes each on to [onHeartbeat], which must not block. */
public class FleetView(
    private val network: PeerNetwork,
    private val clock: MonotonicClock,
    private val onHeartbeat: (from: PeerAddress, heartbeat: Heartbeat) -> Unit,
) {
    private class Seen(
        val from: PeerAddress,
        val heartbeat: Heartbeat,
        val atMillis: Long,
    )

    private val seen = ConcurrentHashMap<InstanceName, Seen>()

    /** Takes heartbeats from now on. */
    public fun start() {
        network.subscribe { from, message ->
            if (message is Heartbeat) {
                seen[from.name] = Seen(from, message, clock.nowMillis())
                onHeartbeat(from, message)
            }
        }
    }

    /** The peers that are connected and sent a heartbeat in the last [LIVE_MILLIS], by name. */
    public fun livePeers(): List<LivePeer> {
        val now = clock.nowMillis()
        val connected = network.connectedPeers().map { it.name }.toSet()
        seen.values.removeIf { now - it.atMillis > FORGET_MILLIS }
        return seen.values
            .filter { it.from.name in connected && now - it.atMillis <= LIVE_MILLIS }
            .map { LivePeer(it.from, it.heartbeat, now - it.atMillis) }
            .sortedBy { it.address.name.value }
    }

    public companion object {
        /** Greatest age of the last heartbeat of a live peer. Heartbeats are about a second apart. */
        public const val LIVE_MILLIS: Long = 5_000

        private const val FORGET_MILLIS: Long = 60_000
    }
}
