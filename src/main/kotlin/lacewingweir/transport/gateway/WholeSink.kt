package lacewingweir.transport.gateway

import lacewingweir.protocol.engine.EngineEvent
import lacewingweir.protocol.openai.CompletionAssembler
import lacewingweir.state.id.WeightsVersion

/** Keeps the steps until the answer is whole, so that nothing of a broken attempt is shown. */
internal class WholeSink(
    private val answer: CallerAnswer,
    private val maxBytes: Int,
) : AnswerSink {
    private val assembler = CompletionAssembler()
    private var bytes = 0L

    override val started: Boolean
        get() = answer.started

    override suspend fun begin(weights: WeightsVersion): Unit = Unit

    override suspend fun content(event: EngineEvent.Content): Boolean {
        bytes += event.data.length
        if (bytes > maxBytes) return false
        assembler.add(event.chunk)
        return true
    }

    override suspend fun usage(event: EngineEvent.UsageReport) {
        assembler.add(event.chunk)
    }

    override suspend fun done() {
        val headers =
            listOf("Content-Type" to "application/json", CallerAnswer.RUN_HEADER to RunState.RUN.header)
        answer.whole(STATUS_OK, headers, assembler.completion())
    }

    private companion object {
        const val STATUS_OK: Int = 200
    }
}
