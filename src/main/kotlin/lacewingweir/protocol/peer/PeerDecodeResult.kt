package lacewingweir.protocol.peer

import lacewingweir.coordination.peer.PeerMessage

/** The outcome of decoding a frame from a peer. */
public sealed interface PeerDecodeResult {
    /** The frame contains [message], whose type has the wire name [type]. */
    public data class Decoded(
        val type: String,
        val message: PeerMessage,
    ) : PeerDecodeResult

    /** The frame is well-formed, but this release doesn't know its [type]. The receiver should skip it. */
    public data class UnknownType(
        val type: String,
    ) : PeerDecodeResult

    /** The protocol version of the frame isn't supported. */
    public data class UnsupportedVersion(
        val version: Int,
    ) : PeerDecodeResult

    /** The frame exceeds [PeerCodec.MAX_FRAME_BYTES]. */
    public data class TooLarge(
        val bytes: Int,
    ) : PeerDecodeResult

    /** The frame is not valid CBOR, lacks a required field or contains an invalid value. */
    public data class Malformed(
        val reason: String,
    ) : PeerDecodeResult
}
