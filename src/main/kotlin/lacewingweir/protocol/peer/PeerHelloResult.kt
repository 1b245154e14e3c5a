package lacewingweir.protocol.peer

/** The outcome of decoding the first frame of a peer. */
public sealed interface PeerHelloResult {
    /** The frame is a [hello] with a supported protocol version. */
    public class Decoded(
        public val hello: PeerHello,
    ) : PeerHelloResult

    /** The protocol version of the peer is not supported. */
    public data class UnsupportedVersion(
        val version: Int,
    ) : PeerHelloResult

    /** The frame is not a valid hello. */
    public data class Malformed(
        val reason: String,
    ) : PeerHelloResult
}
