package lacewingweir.coordination.peer

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Acknowledges a [Heartbeat]. Counts towards a contact proof only if [epoch] is the epoch of that heartbeat. */
@Serializable
@SerialName("heartbeatAck")
public data class HeartbeatAck(
    val number: Long,
    val epoch: Long,
) : PeerMessage
