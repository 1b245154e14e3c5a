package lacewingweir.protocol.peer

import lacewingweir.coordination.peer.PeerMessage

/** Outcome of decoding one frame from a peer. */
public sealed interface PeerDecodeResult {
    /** The frame holds [message] of the given wire [type]. */
    public data class Decoded(
        val type: String,
        val message: PeerMessage,
    ) : PeerDecodeResult

    /** The frame is well-formed, but its [type] is of a release that this one doesn't know. Skip it. */
    public data class UnknownType(
        val type: String,
    ) : PeerDecodeResult

    /** The frame has a protocol version that this release doesn't speak. */
    public data class UnsupportedVersion(
        val version: Int,
    ) : PeerDecodeResult

    /** The frame is larger than the limit. */
    public data class TooLarge(
        val bytes: Int,
    ) : PeerDecodeResult

    /** The frame is not valid CBOR or lacks required fields. */
    public data class Malformed(
        val reason: String,
    ) : PeerDecodeResult
}
