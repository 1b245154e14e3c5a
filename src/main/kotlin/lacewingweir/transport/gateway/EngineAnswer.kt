package lacewingweir.transport.gateway

import lacewingweir.coordination.routing.EngineLoad
import lacewingweir.protocol.engine.DropReason
import lacewingweir.protocol.engine.EngineHead
import lacewingweir.state.id.Incarnation

/** Outcome of sending a request to an engine. */
public sealed interface EngineAnswer {
    /** The head was checked and the stream follows. */
    public class Streaming(
        public val head: EngineHead,
        public val stream: EngineStream,
    ) : EngineAnswer

    /** The engine refused. [notRun] is what it said itself; [leaving] tells that it takes no new work. Errors of an
     * engine may lack [incarnation] and [load]. */
    public data class Refused(
        val status: Int,
        val message: String,
        val notRun: Boolean,
        val leaving: Boolean,
        val incarnation: Incarnation?,
        val load: EngineLoad?,
    ) : EngineAnswer

    /** The answer failed a check and was dropped. */
    public data class Dropped(
        val reason: DropReason,
        val detail: String,
    ) : EngineAnswer

    /** No byte of the request was handed to a connection. */
    public data class NotSent(
        val detail: String,
    ) : EngineAnswer

    /** The request may have reached the engine, and no answer came. */
    public data class Unknown(
        val detail: String,
    ) : EngineAnswer
}
