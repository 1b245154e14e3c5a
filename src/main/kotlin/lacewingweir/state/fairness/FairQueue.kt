package lacewingweir.state.fairness

import lacewingweir.state.bundle.TrafficClass
import lacewingweir.state.id.CustomerId

/**
 * Weighted fair queue over traffic classes and customers (start-time fair queueing on two levels).
 *
 * Service is counted in tokens. Between classes, interactive has [INTERACTIVE_WEIGHT] times the weight of batch, so
 * that batch always gets its share; inside a class customers share by their weight. A customer that was idle gets no
 * credit for it. Entries of one customer and class keep their order. Not thread-safe; the owner synchronises.
 */
public class FairQueue<T : Any> {
    private class Entry<T>(
        val item: T,
        val costTokens: Double,
    )

    private class Flow<T>(
        var weight: Int,
    ) {
        val entries = ArrayDeque<Entry<T>>()
        var startTag = 0.0
    }

    private class ClassQueue<T>(
        val weight: Double,
    ) {
        val flows = HashMap<CustomerId, Flow<T>>()
        var startTag = 0.0
        var virtualTime = 0.0
        var size = 0
    }

    private val classes =
        mapOf(
            TrafficClass.INTERACTIVE to ClassQueue<T>(INTERACTIVE_WEIGHT),
            TrafficClass.BATCH to ClassQueue<T>(BATCH_WEIGHT),
        )
    private var virtualTime = 0.0

    /** Number of waiting entries. */
    public val size: Int
        get() = classes.values.sumOf { it.size }

    /** Adds [item] of [customer], whose service costs [costTokens]. */
    public fun add(
        item: T,
        trafficClass: TrafficClass,
        customer: CustomerId,
        weight: Int,
        costTokens: Long,
    ) {
        val queue = classes.getValue(trafficClass)
        val flow = queue.flows.getOrPut(customer) { Flow(weight) }
        flow.weight = weight.coerceAtLeast(1)
        if (flow.entries.isEmpty()) flow.startTag = maxOf(flow.startTag, queue.virtualTime)
        if (queue.size == 0) queue.startTag = maxOf(queue.startTag, virtualTime)
        flow.entries.addLast(Entry(item, costTokens.coerceAtLeast(1).toDouble()))
        queue.size++
    }

    /**
     * Takes the next entry in fair order that [accept] agrees to. A flow whose first entry is not accepted is passed
     * over this time, and loses nothing by it. Returns null if no first entry is accepted.
     */
    public fun pollFirst(accept: (T) -> Boolean): T? {
        for (queue in classes.values.filter { it.size > 0 }.sortedBy { it.startTag }) {
            val flow =
                queue.flows.values
                    .filter { it.entries.isNotEmpty() }
                    .sortedBy { it.startTag }
                    .firstOrNull { accept(it.entries.first().item) } ?: continue
            return serve(queue, flow)
        }
        return null
    }

    private fun serve(
        queue: ClassQueue<T>,
        flow: Flow<T>,
    ): T {
        val entry = flow.entries.removeFirst()
        queue.size--
        queue.virtualTime = maxOf(queue.virtualTime, flow.startTag)
        flow.startTag += entry.costTokens / flow.weight
        virtualTime = maxOf(virtualTime, queue.startTag)
        queue.startTag += entry.costTokens / queue.weight
        if (queue.size == 0) forgetIdleFlows(queue)
        return entry.item
    }

    /** Idle flows carry no information once their tag is behind the class's virtual time. */
    private fun forgetIdleFlows(queue: ClassQueue<T>) {
        queue.flows.values.removeIf { it.entries.isEmpty() && it.startTag <= queue.virtualTime }
    }

    /** Removes [item] if it still waits. Returns whether it did. */
    public fun remove(item: T): Boolean {
        for (queue in classes.values) {
            for (flow in queue.flows.values) {
                if (flow.entries.removeAll { it.item === item }) {
                    queue.size--
                    return true
                }
            }
        }
        return false
    }

    private companion object {
        /** Batch gets at least a tenth of the service while it waits. */
        const val INTERACTIVE_WEIGHT: Double = 9.0
        const val BATCH_WEIGHT: Double = 1.0
    }
}
