package lacewingweir.coordination.peer

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import lacewingweir.state.keys.KeyRecord

/** Carries key records that the receiver may lack. A withdrawal takes precedence over a grant. */
@Serializable
@SerialName("keyChanges")
public data class KeyChanges(
    val records: List<KeyRecord>,
) : PeerMessage
