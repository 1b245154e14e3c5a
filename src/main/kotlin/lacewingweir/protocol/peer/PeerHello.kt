package lacewingweir.protocol.peer

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import lacewingweir.coordination.peer.PeerAddress

/** The first frame of each side: its address and a fresh nonce, which is an input of the proofs of both sides. */
@Serializable
public class PeerHello(
    @SerialName("v") public val version: Int,
    @SerialName("a") public val address: PeerAddress,
    @ByteString @SerialName("n") public val nonce: ByteArray,
)
