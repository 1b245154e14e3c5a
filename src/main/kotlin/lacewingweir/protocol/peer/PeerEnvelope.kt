package lacewingweir.protocol.peer

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString

/** The outer structure of a peer frame. The body is opaque, so that a message of an unknown [type] can be skipped. */
@Serializable
internal class PeerEnvelope(
    @SerialName("v") val version: Int,
    @SerialName("t") val type: String,
    @ByteString @SerialName("b") val body: ByteArray,
)
