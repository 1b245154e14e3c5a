package lacewingweir.protocol.peer

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString

/** The outer layer of every peer frame. The body stays opaque, so that an unknown [type] can be skipped. */
@Serializable
internal class PeerEnvelope(
    @SerialName("v") val version: Int,
    @SerialName("t") val type: String,
    @ByteString @SerialName("b") val body: ByteArray,
)
