package lacewingweir.coordination.peer

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Instances known to the sender.
 */
@Serializable
@SerialName("peerAddresses")
public data class PeerAddresses(
    val addresses: List<PeerAddress>,
) : PeerMessage
