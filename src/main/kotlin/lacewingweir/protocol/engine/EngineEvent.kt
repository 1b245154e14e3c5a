package lacewingweir.protocol.engine

import lacewingweir.protocol.openai.ChatChunk
import lacewingweir.protocol.openai.Usage

/** One validated event of an engine's stream. */
public sealed interface EngineEvent {
    /** The content chunk with the number [index]. [data] is its JSON text exactly as the engine sent it. */
    public class Content(
        public val index: Long,
        public val data: String,
        public val chunk: ChatChunk,
    ) : EngineEvent

    /** The usage chunk, which follows the last content chunk. [data] is its JSON text as the engine sent it. */
    public class UsageReport(
        public val data: String,
        public val chunk: ChatChunk,
        public val usage: Usage,
    ) : EngineEvent

    /** The stream is complete. */
    public data object Done : EngineEvent

    /** The stream violates the protocol. The rest of it must not be used. */
    public data class Violation(
        val reason: DropReason,
        val detail: String,
    ) : EngineEvent
}
