package lacewingweir.transport.relay

import java.util.concurrent.atomic.AtomicLong

/** Limits the bytes that buffers hold together, so that large responses can't use up the memory. Thread-safe. */
internal class BufferBudget(
    private val maxBytes: Long,
) {
    private val usedBytes = AtomicLong()

    fun reserve() = Buffer()

    /** The part of the budget that one buffer uses until it is closed. Not thread-safe. */
    inner class Buffer : AutoCloseable {
        private var ownBytes = 0L

        /** Adds [bytes] to the buffer. Returns false if the budget doesn't allow them. */
        fun tryAdd(bytes: Int): Boolean {
            if (usedBytes.addAndGet(bytes.toLong()) > maxBytes) {
                usedBytes.addAndGet(-bytes.toLong())
                return false
            }
            ownBytes += bytes
            return true
        }

        override fun close() {
            usedBytes.addAndGet(-ownBytes)
            ownBytes = 0
        }
    }
}
