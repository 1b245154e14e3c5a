package lacewingweir.transport.gateway

import lacewingweir.protocol.engine.EngineEvent
import lacewingweir.protocol.resume.ResumeTokenCodec
import lacewingweir.protocol.resume.StreamIdentity
import lacewingweir.protocol.resume.StreamPosition
import lacewingweir.state.id.WeightsVersion

/** Forwards each event as a server-sent event whose id is the token with which a caller resumes after it. */
internal class StreamingSink(
    private val response: CallerResponse,
    private val resumeTokenCodec: ResumeTokenCodec,
    private val streamIdentity: (WeightsVersion) -> StreamIdentity,
    start: StreamPosition,
    private val includeUsage: Boolean,
) : CompletionSink {
    /** The position up to which events have been forwarded to the caller. */
    var position: StreamPosition = start
        private set

    private var identity: StreamIdentity? = null

    override val started: Boolean
        get() = response.started

    val resumeToken: String
        get() = resumeTokenCodec.issue(checkNotNull(identity) { "the stream has not begun" }, position)

    override suspend fun begin(weights: WeightsVersion) {
        if (started) return
        identity = streamIdentity(weights)
        val headers =
            listOf(
                "Content-Type" to "text/event-stream",
                "Cache-Control" to "no-cache",
                CallerResponse.RUN_STATE_HEADER to RunState.RUN.headerValue,
            )
        response.startStream(STATUS_OK, headers)
    }

    override suspend fun content(event: EngineEvent.Content): Boolean {
        check(event.index == position.nextIndex) { "chunk index is ${event.index}, expected ${position.nextIndex}" }
        val finished = event.chunk.finishReason != null
        val phase = if (finished) StreamPosition.Phase.FINISHED else StreamPosition.Phase.CONTENT
        position = position.copy(nextIndex = event.index + 1, phase = phase)
        send(event.data)
        return true
    }

    override suspend fun usage(event: EngineEvent.UsageReport) {
        position = position.copy(phase = StreamPosition.Phase.USAGE_SENT)
        if (includeUsage) send(event.data)
    }

    override suspend fun done() {
        position = position.copy(phase = StreamPosition.Phase.USAGE_SENT)
        send(DONE_MARKER)
        response.finish()
    }

    private suspend fun send(data: String) {
        val event = StringBuilder("id: ").append(resumeToken)
        data.lineSequence().forEach { event.append("\ndata: ").append(it) }
        response.write(event.append("\n\n").toString().encodeToByteArray())
    }

    private companion object {
        const val STATUS_OK: Int = 200
        const val DONE_MARKER: String = "[DONE]"
    }
}
