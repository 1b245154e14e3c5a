package lacewingweir.coordination.fleet

import lacewingweir.coordination.peer.Heartbeat
import lacewingweir.coordination.peer.PeerAddress

/** A peer that is connected, with its last heartbeat and the age of that. */
public data class LivePeer(
    val address: PeerAddress,
    val heartbeat: Heartbeat,
    val ageMillis: Long,
)
