package lacewingweir.coordination.peer

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Answers a [Heartbeat]. Counts as proof only if [epoch] is the epoch of that heartbeat.
 */
@Serializable
@SerialName("heartbeatAck")
public data class HeartbeatAck(
    val number: Long,
    val epoch: Long,
) : PeerMessage
