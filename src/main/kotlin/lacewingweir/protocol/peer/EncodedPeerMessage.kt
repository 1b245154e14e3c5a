package lacewingweir.protocol.peer

/** A message as it goes on the wire, without its length prefix. */
public class EncodedPeerMessage(
    public val type: String,
    public val frame: ByteArray,
)
