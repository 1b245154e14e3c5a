package lacewingweir.state.fairness

import lacewingweir.state.bundle.TrafficClass
import lacewingweir.state.id.CustomerId

/**
 * A weighted fair queue over traffic classes and customers, using start-time fair queueing on two levels.
 *
 * Service is measured in tokens. The interactive class has [INTERACTIVE_WEIGHT] times the weight of the batch class, so
 * batch requests are never starved. Within a class, customers share the service by weight. An idle customer accumulates
 * no credit. Entries of the same customer and class are served in order of arrival. Not thread-safe; the owner must
 * synchronize access.
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

    /** The number of waiting entries. */
    public val size: Int
        get() = classes.values.sumOf { it.size }

    /** Adds [item] of [customer]. Serving it costs [costTokens]. */
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
     * Removes and returns the next item in fair order that [accept] accepts, or null if there is none.
     *
     * Only the first entry of each customer and class is offered. A flow whose first entry is not accepted is skipped
     * in this call and keeps its position.
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
        if (queue.size == 0) removeIdleFlows(queue)
        return entry.item
    }

    /**
     * Removes idle flows whose start tag is not ahead of the virtual time; they would be recreated with the same tag.
     */
    private fun removeIdleFlows(queue: ClassQueue<T>) {
        queue.flows.values.removeIf { it.entries.isEmpty() && it.startTag <= queue.virtualTime }
    }

    /** Removes [item], compared by identity. Returns whether it was still waiting. */
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
        /** Gives batch requests at least a tenth of the service while any are waiting. */
        const val INTERACTIVE_WEIGHT: Double = 9.0
        const val BATCH_WEIGHT: Double = 1.0
    }
}
