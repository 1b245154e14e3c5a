package lacewingweir.protocol.engine

import lacewingweir.protocol.openai.ChatChunk
import lacewingweir.state.id.RequestId

/**
 * Validates the events of one engine stream.
 *
 * Each event must belong to [requestId], the indexes of the content chunks must be consecutive, and `[DONE]` must
 * follow a finish reason and the usage report.
 *
 * [nextIndex] is the index of the first content chunk. If [finished] is set, the last content chunk was received before
 * from another engine. Not thread-safe.
 */
public class EngineStreamValidator(
    private val requestId: RequestId,
    nextIndex: Long,
    finished: Boolean = false,
) {
    /** Index that the next content chunk must have. */
    public var nextIndex: Long = nextIndex
        private set

    /** Whether the last content chunk has been received. */
    public var finished: Boolean = finished
        private set

    private var usageReceived = false
    private var done = false

    /** Validates the next event. After a violation or the end of the stream, further events are violations. */
    public fun next(event: SseEvent): EngineEvent =
        when {
            done -> violation(DropReason.FORMAT, "an event after the end")
            event.event == "error" -> violation(DropReason.CUT, "the engine reported an error")
            event.data == END_OF_STREAM -> end()
            else -> chunk(event)
        }

    private fun chunk(event: SseEvent): EngineEvent {
        val chunk = ChatChunk.parse(event.data) ?: return violation(DropReason.FORMAT, "not a chunk")
        return when {
            chunk.id != requestId.value -> violation(DropReason.REQUEST_ID, "the chunk belongs to another request")
            chunk.choice == null -> usage(event, chunk)
            else -> content(event, chunk)
        }
    }

    private fun end(): EngineEvent {
        if (!finished || !usageReceived) return violation(DropReason.FORMAT, "the stream ended before the answer's end")
        done = true
        return EngineEvent.Done
    }

    private fun usage(
        event: SseEvent,
        chunk: ChatChunk,
    ): EngineEvent {
        val usage = chunk.usage
        return when {
            usage == null || usageReceived || !finished -> violation(DropReason.FORMAT, "an empty chunk out of place")
            event.id != null && event.id.toLongOrNull() != nextIndex ->
                violation(DropReason.INDEX, "usage with index ${displayIndex(event.id)} instead of $nextIndex")
            else -> {
                usageReceived = true
                EngineEvent.UsageReport(event.data, chunk, usage)
            }
        }
    }

    private fun content(
        event: SseEvent,
        chunk: ChatChunk,
    ): EngineEvent {
        if (finished) return violation(DropReason.FORMAT, "content after the finish reason")
        if (event.id?.toLongOrNull() != nextIndex) {
            return violation(DropReason.INDEX, "chunk ${displayIndex(event.id)} instead of $nextIndex")
        }
        val index = nextIndex++
        finished = chunk.finishReason != null
        return EngineEvent.Content(index, event.data, chunk)
    }

    private fun violation(
        reason: DropReason,
        detail: String,
    ): EngineEvent {
        done = true
        return EngineEvent.Violation(reason, detail)
    }

    private fun displayIndex(id: String?): String = id?.toLongOrNull()?.toString() ?: "without a number"

    private companion object {
        const val END_OF_STREAM: String = "[DONE]"
    }
}
