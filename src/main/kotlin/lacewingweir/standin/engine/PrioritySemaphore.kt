package lacewingweir.standin.engine

import kotlinx.coroutines.CompletableDeferred
import java.util.PriorityQueue

/** A number of slots that are given to waiters by priority, lower first, and in order of arrival within one. */
internal class PrioritySemaphore(
    slots: Int,
) {
    private class Waiter(
        val priority: Int,
        val order: Long,
        val granted: CompletableDeferred<Unit> = CompletableDeferred(),
    )

    private val queue = PriorityQueue(compareBy<Waiter>({ it.priority }, { it.order }))
    private var free = slots
    private var arrivals = 0L

    val waiting: Int
        @Synchronized get() = queue.size

    suspend fun <T> use(
        priority: Int,
        block: suspend () -> T,
    ): T {
        val waiter = enqueue(priority)
        try {
            waiter.granted.await()
            return block()
        } finally {
            leave(waiter)
        }
    }

    @Synchronized
    private fun enqueue(priority: Int): Waiter {
        val waiter = Waiter(priority, arrivals++)
        queue.add(waiter)
        grant()
        return waiter
    }

    // A waiter that was cancelled before its grant is still in the queue; any other one holds a slot.
    @Synchronized
    private fun leave(waiter: Waiter) {
        if (!queue.remove(waiter)) free++
        grant()
    }

    private fun grant() {
        while (free > 0) {
            val next = queue.poll() ?: return
            free--
            next.granted.complete(Unit)
        }
    }
}
