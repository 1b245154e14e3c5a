package lacewingweir.transport.gateway

import kotlinx.coroutines.withTimeoutOrNull
import lacewingweir.protocol.engine.DropReason
import lacewingweir.protocol.engine.EngineEvent
import lacewingweir.protocol.engine.EngineStreamValidator
import lacewingweir.protocol.engine.SseEvent
import lacewingweir.protocol.engine.SseReader
import lacewingweir.transport.http.ClientResponse
import lacewingweir.transport.http.ReadResult

/** Reads an engine's event stream from an HTTP response. */
internal class HttpEngineStream(
    private val response: ClientResponse,
    private val validator: EngineStreamValidator,
) : EngineStream {
    private val reader = SseReader()
    private val pendingEvents = ArrayDeque<SseEvent>()

    override suspend fun next(timeoutMillis: Long): EngineEvent {
        // The timeout applies to the event, because an engine may send bytes all the time without ever completing one.
        val event =
            withTimeoutOrNull(timeoutMillis) { awaitEvent(timeoutMillis) }
                ?: EngineEvent.Violation(DropReason.CUT, "no event within $timeoutMillis ms")
        if (event is EngineEvent.Violation) response.close()
        return event
    }

    private suspend fun awaitEvent(timeoutMillis: Long): EngineEvent {
        while (pendingEvents.isEmpty()) readEvents(timeoutMillis)?.let { return it }
        return validator.next(pendingEvents.removeFirst())
    }

    private suspend fun readEvents(timeoutMillis: Long): EngineEvent.Violation? =
        when (val result = response.read(timeoutMillis)) {
            is ReadResult.Data -> {
                val events = reader.feed(result.bytes)
                events?.let(pendingEvents::addAll)
                if (events == null) EngineEvent.Violation(DropReason.FORMAT, "an event is too long") else null
            }
            ReadResult.End -> EngineEvent.Violation(DropReason.CUT, "the body ended before the stream's end")
            is ReadResult.Broken -> EngineEvent.Violation(DropReason.CUT, result.reason)
        }

    override suspend fun drain() {
        if (response.read(DRAIN_TIMEOUT_MILLIS) != ReadResult.End) response.close()
    }

    override fun close() {
        response.close()
    }

    private companion object {
        const val DRAIN_TIMEOUT_MILLIS: Long = 100
    }
}
