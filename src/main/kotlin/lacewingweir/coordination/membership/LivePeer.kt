package lacewingweir.coordination.membership

import lacewingweir.coordination.peer.Heartbeat
import lacewingweir.coordination.peer.PeerAddress

/** A live peer whose latest [heartbeat] arrived [ageMillis] ago. */
public data class LivePeer(
    val address: PeerAddress,
    val heartbeat: Heartbeat,
    val ageMillis: Long,
)
