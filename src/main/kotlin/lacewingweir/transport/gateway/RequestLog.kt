package lacewingweir.transport.gateway

import lacewingweir.state.id.RequestId
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.atomic.AtomicReferenceArray

/** Records of the last [capacity] requests in memory; a new request displaces the oldest. */
public class RequestLog(
    private val capacity: Int = DEFAULT_CAPACITY,
) {
    private val ring = AtomicReferenceArray<RequestTrace?>(capacity)
    private val byId = ConcurrentHashMap<String, RequestTrace>()
    private val next = AtomicLong()

    /** The record of this request, or null if it is unknown or was displaced. */
    public fun find(id: RequestId): RequestRecord? = byId[id.value]?.record()

    internal fun add(trace: RequestTrace) {
        byId[trace.requestId.value] = trace
        val slot = (next.getAndIncrement() % capacity).toInt()
        ring.getAndSet(slot, trace)?.let { byId.remove(it.requestId.value, it) }
    }

    public companion object {
        /** Records kept unless set otherwise. */
        public const val DEFAULT_CAPACITY: Int = 4_096
    }
}
