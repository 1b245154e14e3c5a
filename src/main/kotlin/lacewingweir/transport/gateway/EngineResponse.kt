package lacewingweir.transport.gateway

import lacewingweir.coordination.routing.EngineLoad
import lacewingweir.protocol.engine.DropReason
import lacewingweir.protocol.engine.EngineHead
import lacewingweir.state.id.Incarnation

/** The result of sending a request to an engine. */
public sealed interface EngineResponse {
    /** The response headers passed the checks, and the event stream follows. */
    public class Streaming(
        public val head: EngineHead,
        public val stream: EngineStream,
    ) : EngineResponse

    /**
     * The engine answered with an error status.
     *
     * [notRun] is whether the engine reported that it did not execute the request, and [leaving] whether it accepts no
     * new requests. [incarnation] and [load] are null if the response did not include them.
     */
    public data class Refused(
        val status: Int,
        val message: String,
        val notRun: Boolean,
        val leaving: Boolean,
        val incarnation: Incarnation?,
        val load: EngineLoad?,
    ) : EngineResponse

    /** The response failed a check and was dropped. */
    public data class Dropped(
        val reason: DropReason,
        val detail: String,
    ) : EngineResponse

    /** No byte of the request was written to a connection. */
    public data class NotSent(
        val detail: String,
    ) : EngineResponse

    /** The request may have reached the engine, but no response was received. */
    public data class Unknown(
        val detail: String,
    ) : EngineResponse
}
