package lacewingweir.transport.http

/** The outcome of reading the next chunk of a response body. */
public sealed interface ReadResult {
    /** The next bytes of the body. */
    public class Data(
        public val bytes: ByteArray,
    ) : ReadResult

    /** The body is complete according to its framing. */
    public data object End : ReadResult

    /** The body was truncated or malformed, or the next chunk [timedOut]. The bytes read so far are incomplete. */
    public data class Broken(
        val reason: String,
        val timedOut: Boolean = false,
    ) : ReadResult
}
