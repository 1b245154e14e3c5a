package lacewingweir.transport.http

import java.util.concurrent.atomic.AtomicLong

/**
 * Limits the bytes that buffers hold together, so that large bodies can't use up the memory. Thread-safe.
 *
 * @param admitsAnyAlone whether a buffer may exceed the limit as long as no other one holds anything
 */
internal class BufferBudget(
    private val maxBytes: Long,
    private val admitsAnyAlone: Boolean = false,
) {
    private val used = AtomicLong()

    /** The bytes that all buffers hold. */
    val usedBytes: Long
        get() = used.get()

    fun reserve() = Buffer()

    /** The part of the budget that one buffer uses until it is closed. Not thread-safe. */
    inner class Buffer : AutoCloseable {
        var bytes = 0L
            private set

        /** Adds [added] bytes to the buffer. Returns false if the budget doesn't allow them. */
        fun tryAdd(added: Int): Boolean {
            val before = used.getAndAdd(added.toLong())
            val isAllowed = before + added <= maxBytes || (admitsAnyAlone && before == 0L)
            if (isAllowed) bytes += added else used.addAndGet(-added.toLong())
            return isAllowed
        }

        override fun close() {
            used.addAndGet(-bytes)
            bytes = 0
        }
    }
}
