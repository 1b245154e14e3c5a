package lacewingweir.protocol.resume

import lacewingweir.state.id.RequestId

/**
 * The position at which a stream is resumed.
 *
 * @property nextIndex the index of the next content chunk
 * @property phase the part of the stream that has not been sent yet
 */
public data class StreamPosition(
    val requestId: RequestId,
    val nextIndex: Long,
    val phase: Phase,
) {
    /** The part of a stream that has not been sent yet. Tokens contain the ordinal, so the order must not change. */
    public enum class Phase {
        /** More content chunks, and what follows them. */
        CONTENT,

        /** The usage report, if the caller requested it, and the end marker. The content is complete. */
        FINISHED,

        /** Only the end marker. */
        USAGE_SENT,
    }
}
