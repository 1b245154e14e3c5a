package lacewingweir.coordination.peer

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Asks a peer for its bundle, key records, epoch document and known instances. Sent after a start and while an epoch
 * stays pending.
 */
@Serializable
@SerialName("stateRequest")
public data object StateRequest : PeerMessage
