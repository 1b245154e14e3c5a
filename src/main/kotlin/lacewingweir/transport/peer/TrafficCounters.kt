package lacewingweir.transport.peer

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.LongAdder

/** Counts messages and bytes by message type. The byte counts include the length prefixes. */
internal class TrafficCounters {
    private class Counter {
        val sentMessages = LongAdder()
        val sentBytes = LongAdder()
        val receivedMessages = LongAdder()
        val receivedBytes = LongAdder()
        val droppedMessages = LongAdder()
    }

    private val counters = ConcurrentHashMap<String, Counter>()

    fun sent(
        type: String,
        bytes: Int,
    ) {
        val counter = counter(type)
        counter.sentMessages.increment()
        counter.sentBytes.add(bytes.toLong() + Int.SIZE_BYTES)
    }

    fun received(
        type: String,
        bytes: Int,
    ) {
        val counter = counter(type)
        counter.receivedMessages.increment()
        counter.receivedBytes.add(bytes.toLong() + Int.SIZE_BYTES)
    }

    fun dropped(type: String) = counter(type).droppedMessages.increment()

    fun snapshot(): Map<String, PeerTraffic> =
        counters.mapValues { (_, counter) ->
            PeerTraffic(
                counter.sentMessages.sum(),
                counter.sentBytes.sum(),
                counter.receivedMessages.sum(),
                counter.receivedBytes.sum(),
                counter.droppedMessages.sum(),
            )
        }

    private fun counter(type: String): Counter = counters[type] ?: counters.computeIfAbsent(type) { Counter() }
}
