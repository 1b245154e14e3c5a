package lacewingweir.coordination.peer

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Carries the addresses of the instances that the sender knows. */
@Serializable
@SerialName("peerAddresses")
public data class PeerAddresses(
    val addresses: List<PeerAddress>,
) : PeerMessage
