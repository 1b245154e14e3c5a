package lacewingweir.transport.gateway

import lacewingweir.protocol.engine.EngineEvent
import lacewingweir.state.id.WeightsVersion

/** Where the checked steps of a chat completion go. Calls come in order; [begin] may come again after a resume. */
internal interface AnswerSink {
    /** Whether the caller has seen the head of an answer. */
    val started: Boolean

    /** An engine's head was checked; its answer comes from [weights]. */
    suspend fun begin(weights: WeightsVersion)

    /** Takes a content chunk. Returns false if the answer exceeds its bound. */
    suspend fun content(event: EngineEvent.Content): Boolean

    suspend fun usage(event: EngineEvent.UsageReport)

    /** The whole answer was received. */
    suspend fun done()
}
