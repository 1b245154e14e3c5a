package lacewingweir.protocol.peer

/** An encoded [frame] without its length prefix, and the wire name of its message [type]. */
public class EncodedPeerMessage(
    public val type: String,
    public val frame: ByteArray,
)
