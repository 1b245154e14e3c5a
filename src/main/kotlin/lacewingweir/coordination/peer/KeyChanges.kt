package lacewingweir.coordination.peer

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import lacewingweir.state.keys.KeyRecord

/**
 * Key records that the receiver may lack. Withdrawals win over grants.
 */
@Serializable
@SerialName("keyChanges")
public data class KeyChanges(
    val records: List<KeyRecord>,
) : PeerMessage
