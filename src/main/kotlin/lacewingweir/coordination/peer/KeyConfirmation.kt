package lacewingweir.coordination.peer

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import lacewingweir.state.id.KeyDigest

/** Answers [KeyChanges]: the sender has recorded the withdrawals of the keys [digests] and rejects these keys. */
@Serializable
@SerialName("keyConfirmation")
public data class KeyConfirmation(
    val digests: List<KeyDigest>,
) : PeerMessage
