package lacewingweir.protocol.peer

/** Outcome of decoding the first frame of a peer. */
public sealed interface PeerHelloResult {
    /** The frame is a [hello] of a supported version. */
    public class Decoded(
        public val hello: PeerHello,
    ) : PeerHelloResult

    /** The peer speaks another protocol version. */
    public data class UnsupportedVersion(
        val version: Int,
    ) : PeerHelloResult

    /** The frame is no hello. */
    public data class Malformed(
        val reason: String,
    ) : PeerHelloResult
}
