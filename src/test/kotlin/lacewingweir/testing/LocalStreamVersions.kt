package lacewingweir.testing

import kotlinx.coroutines.CoroutineScope
import lacewingweir.coordination.fleet.FleetSnapshot
import lacewingweir.coordination.gossip.DigestNetwork
import lacewingweir.coordination.gossip.PeerDatagram
import lacewingweir.coordination.stream.StreamVersions
import lacewingweir.state.time.MonotonicClock

private object NoNetwork : DigestNetwork {
    override suspend fun send(
        datagram: PeerDatagram,
        targets: List<Pair<String, Int>>,
    ): Int = 0
}

/** The stream versions of an instance without peers. */
internal fun localStreamVersions(
    clock: MonotonicClock,
    scope: CoroutineScope,
    fleet: () -> FleetSnapshot,
) = StreamVersions("a", clock, scope, NoNetwork, fleet, viewAgeMillis = { 0 }, provesView = { true })
