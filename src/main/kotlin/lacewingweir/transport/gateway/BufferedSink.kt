package lacewingweir.transport.gateway

import lacewingweir.protocol.engine.EngineEvent
import lacewingweir.protocol.openai.CompletionAssembler
import lacewingweir.state.id.WeightsVersion

/** Buffers the completion until it is complete, so that the caller never receives part of a failed attempt. */
internal class BufferedSink(
    private val response: CallerResponse,
    private val maxChars: Int,
) : CompletionSink {
    private val assembler = CompletionAssembler()
    private var bufferedChars = 0L

    override val started: Boolean
        get() = response.started

    override suspend fun begin(weights: WeightsVersion): Unit = Unit

    override suspend fun content(event: EngineEvent.Content): Boolean {
        bufferedChars += event.data.length
        if (bufferedChars > maxChars) return false
        assembler.add(event.chunk)
        return true
    }

    override suspend fun usage(event: EngineEvent.UsageReport) {
        assembler.add(event.chunk)
    }

    override suspend fun done() {
        val headers =
            listOf("Content-Type" to "application/json", CallerResponse.RUN_STATE_HEADER to RunState.RUN.headerValue)
        response.respond(STATUS_OK, headers, assembler.completion())
    }

    private companion object {
        const val STATUS_OK: Int = 200
    }
}
