package lacewingweir.protocol.engine

import lacewingweir.protocol.openai.ChatChunk
import lacewingweir.protocol.openai.Usage

/** One checked step of an engine's stream. */
public sealed interface EngineEvent {
    /** The content chunk [index]. [data] is its text exactly as the engine sent it. */
    public class Content(
        public val index: Long,
        public val data: String,
        public val chunk: ChatChunk,
    ) : EngineEvent

    /** The usage chunk that follows the last content chunk. */
    public class UsageReport(
        public val data: String,
        public val chunk: ChatChunk,
        public val usage: Usage,
    ) : EngineEvent

    /** The whole answer was sent. */
    public data object Done : EngineEvent

    /** The stream can't be trusted from here on. */
    public data class Violation(
        val reason: DropReason,
        val detail: String,
    ) : EngineEvent
}
