package lacewingweir.transport.gateway

import lacewingweir.protocol.engine.EngineEvent
import lacewingweir.protocol.resume.ResumeTokenCodec
import lacewingweir.protocol.resume.StreamIdentity
import lacewingweir.protocol.resume.StreamPosition
import lacewingweir.state.id.WeightsVersion

/** Passes each step on as a server-sent event whose id is the token to resume after it. */
internal class StreamSink(
    private val answer: CallerAnswer,
    private val resumeTokenCodec: ResumeTokenCodec,
    private val identityOf: (WeightsVersion) -> StreamIdentity,
    start: StreamPosition,
    private val includeUsage: Boolean,
) : AnswerSink {
    /** What the caller has received so far. */
    var position: StreamPosition = start
        private set

    private var identity: StreamIdentity? = null

    override val started: Boolean
        get() = answer.started

    val token: String
        get() = resumeTokenCodec.issue(checkNotNull(identity) { "the stream hasn't begun" }, position)

    override suspend fun begin(weights: WeightsVersion) {
        if (started) return
        identity = identityOf(weights)
        val headers =
            listOf(
                "Content-Type" to "text/event-stream",
                "Cache-Control" to "no-cache",
                CallerAnswer.RUN_HEADER to RunState.RUN.header,
            )
        answer.startStream(STATUS_OK, headers)
    }

    override suspend fun content(event: EngineEvent.Content): Boolean {
        check(event.index == position.nextIndex) { "chunk ${event.index} instead of ${position.nextIndex}" }
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
        send(END_OF_STREAM)
        answer.finish()
    }

    private suspend fun send(data: String) {
        val event = StringBuilder("id: ").append(token)
        data.lineSequence().forEach { event.append("\ndata: ").append(it) }
        answer.write(event.append("\n\n").toString().encodeToByteArray())
    }

    private companion object {
        const val STATUS_OK: Int = 200
        const val END_OF_STREAM: String = "[DONE]"
    }
}
