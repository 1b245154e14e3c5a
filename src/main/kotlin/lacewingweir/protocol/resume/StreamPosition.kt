package lacewingweir.protocol.resume

import lacewingweir.state.id.RequestId

/** Where a stream goes on: [nextIndex] is the next content chunk, and [phase] what is still to come. */
public data class StreamPosition(
    val requestId: RequestId,
    val nextIndex: Long,
    val phase: Phase,
) {
    /** What is still to come of a stream. */
    public enum class Phase {
        /** More content chunks. */
        CONTENT,

        /** The usage report, if the caller asked for it, and the end. */
        FINISHED,

        /** The end only. */
        USAGE_SENT,
    }
}
