package lacewingweir.transport.gateway

import lacewingweir.state.id.RequestId
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.atomic.AtomicReferenceArray

/** Keeps the records of the last [capacity] requests in memory. A new request evicts the oldest one. */
public class RequestLog(
    private val capacity: Int = DEFAULT_CAPACITY,
) {
    private val traces = AtomicReferenceArray<RequestTrace?>(capacity)
    private val tracesById = ConcurrentHashMap<String, RequestTrace>()
    private val nextIndex = AtomicLong()

    /** Returns the record of this request, or null if it is unknown or was evicted. */
    public fun find(id: RequestId): RequestRecord? = tracesById[id.value]?.record()

    internal fun add(trace: RequestTrace) {
        tracesById[trace.requestId.value] = trace
        val slot = (nextIndex.getAndIncrement() % capacity).toInt()
        traces.getAndSet(slot, trace)?.let { tracesById.remove(it.requestId.value, it) }
    }

    public companion object {
        /** The default number of records. */
        public const val DEFAULT_CAPACITY: Int = 4_096
    }
}
