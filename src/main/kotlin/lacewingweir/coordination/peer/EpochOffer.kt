package lacewingweir.coordination.peer

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import lacewingweir.state.membership.EpochDocument

/** Carries an epoch document that the receiver may lack. */
@Serializable
@SerialName("epochOffer")
public data class EpochOffer(
    val document: EpochDocument,
) : PeerMessage
