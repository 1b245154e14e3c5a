package lacewingweir.protocol.peer

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import lacewingweir.coordination.peer.PeerAddress

/** First frame of each side of a connection: who it is, and a fresh nonce for the proof of the other side. */
@Serializable
public class PeerHello(
    @SerialName("v") public val version: Int,
    @SerialName("a") public val address: PeerAddress,
    @ByteString @SerialName("n") public val nonce: ByteArray,
)
