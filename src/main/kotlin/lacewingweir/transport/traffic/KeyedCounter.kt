package lacewingweir.transport.traffic

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.LongAdder

/** Counts events by a key. Thread-safe. */
internal class KeyedCounter<K : Any> {
    private val counts = ConcurrentHashMap<K, LongAdder>()

    /** The number of events by key so far. */
    val totals: Map<K, Long>
        get() = counts.mapValues { (_, count) -> count.sum() }

    fun increment(key: K) = counts.computeIfAbsent(key) { LongAdder() }.increment()
}
