package lacewingweir.transport.traffic

import java.util.concurrent.atomic.LongAdder

/** Counts messages of one kind and their bytes. */
internal class MessageCounter {
    private val messages = LongAdder()
    private val bytes = LongAdder()

    fun add(messageBytes: Int) {
        messages.increment()
        bytes.add(messageBytes.toLong())
    }

    fun total() = MessageTotal(messages.sum(), bytes.sum())
}

/** The number of messages since the start of the process, and their size in bytes. */
internal data class MessageTotal(
    val messages: Long = 0,
    val bytes: Long = 0,
) {
    operator fun minus(earlier: MessageTotal) = MessageTotal(messages - earlier.messages, bytes - earlier.bytes)
}
