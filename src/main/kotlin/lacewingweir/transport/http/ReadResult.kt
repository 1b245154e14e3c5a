package lacewingweir.transport.http

/** Outcome of reading the next part of a response body. */
public sealed interface ReadResult {
    /** The next bytes of the body. */
    public class Data(
        public val bytes: ByteArray,
    ) : ReadResult

    /** The body ended as its framing announced. */
    public data object End : ReadResult

    /** The body was cut, malformed or too slow. What was read so far is not the whole body. */
    public data class Broken(
        val reason: String,
    ) : ReadResult
}
