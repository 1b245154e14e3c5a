package lacewingweir.standin.engine

import kotlinx.coroutines.CompletableDeferred
import java.util.PriorityQueue

/** A semaphore that grants permits by priority, lowest value first, and by order of arrival for equal priorities. */
internal class PrioritySemaphore(
    permits: Int,
) {
    private class Waiter(
        val priority: Int,
        val arrival: Long,
        val granted: CompletableDeferred<Unit> = CompletableDeferred(),
    )

    private val queue = PriorityQueue(compareBy<Waiter>({ it.priority }, { it.arrival }))
    private var availablePermits = permits
    private var arrivalCount = 0L

    val queueLength: Int
        @Synchronized get() = queue.size

    suspend fun <T> withPermit(
        priority: Int,
        block: suspend () -> T,
    ): T {
        val waiter = enqueue(priority)
        try {
            waiter.granted.await()
            return block()
        } finally {
            release(waiter)
        }
    }

    @Synchronized
    private fun enqueue(priority: Int): Waiter {
        val waiter = Waiter(priority, arrivalCount++)
        queue.add(waiter)
        grantPermits()
        return waiter
    }

    // A waiter that is still queued was cancelled before it got a permit. Any other waiter holds one.
    @Synchronized
    private fun release(waiter: Waiter) {
        if (!queue.remove(waiter)) availablePermits++
        grantPermits()
    }

    private fun grantPermits() {
        while (availablePermits > 0) {
            val next = queue.poll() ?: return
            availablePermits--
            next.granted.complete(Unit)
        }
    }
}
