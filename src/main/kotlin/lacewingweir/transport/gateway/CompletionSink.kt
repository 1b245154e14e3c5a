package lacewingweir.transport.gateway

import lacewingweir.protocol.engine.EngineEvent
import lacewingweir.state.id.WeightsVersion

/**
 * Receives the validated events of a chat completion in order and sends them to the caller.
 *
 * [begin] is called again when the completion continues on another engine.
 */
internal interface CompletionSink {
    /** Whether the response headers have been sent to the caller. */
    val started: Boolean

    /** Begins the completion after the response headers of an engine that serves [weights] have been checked. */
    suspend fun begin(weights: WeightsVersion)

    /** Adds a content chunk. Returns false if the completion exceeds its size limit. */
    suspend fun content(event: EngineEvent.Content): Boolean

    /** Adds the usage report. */
    suspend fun usage(event: EngineEvent.UsageReport)

    /** Ends the response after the complete completion was received. */
    suspend fun done()
}
