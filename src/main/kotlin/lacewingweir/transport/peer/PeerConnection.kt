package lacewingweir.transport.peer

import io.ktor.network.sockets.Socket
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeByteArray
import io.ktor.utils.io.writeInt
import kotlinx.coroutines.channels.Channel
import lacewingweir.coordination.peer.PeerAddress
import lacewingweir.protocol.peer.EncodedPeerMessage
import java.util.concurrent.atomic.AtomicLong

/**
 * An authenticated connection with a bounded send queue.
 *
 * @property dialedByUs whether this instance opened the connection; decides, with [establishedMillis], which of two
 *   connections between the same instances is kept
 */
internal class PeerConnection(
    val peer: PeerAddress,
    val dialedByUs: Boolean,
    val establishedMillis: Long,
    private val socket: Socket,
    private val input: ByteReadChannel,
    private val output: ByteWriteChannel,
    private val limits: PeerLimits,
    private val counters: TrafficCounters,
) {
    private val queue = Channel<EncodedPeerMessage>(limits.maxQueuedFrames)
    private val queuedBytes = AtomicLong()

    /** When the last frame arrived, on the clock that provided [establishedMillis]. */
    @Volatile
    var lastReceivedMillis: Long = establishedMillis

    /** Queues [message]. Returns `false` if the queue is full or closed. */
    fun offer(message: EncodedPeerMessage): Boolean {
        val size = message.frame.size.toLong()
        if (queuedBytes.addAndGet(size) > limits.maxQueuedBytes || !queue.trySend(message).isSuccess) {
            queuedBytes.addAndGet(-size)
            return false
        }
        return true
    }

    /** Sends queued messages until the connection fails or is closed. Flushes whenever the queue is empty. */
    suspend fun writeLoop() {
        for (message in queue) {
            write(message)
            var next = queue.tryReceive().getOrNull()
            while (next != null) {
                write(next)
                next = queue.tryReceive().getOrNull()
            }
            output.flush()
        }
    }

    private suspend fun write(message: EncodedPeerMessage) {
        writeFrame(output, message.frame)
        queuedBytes.addAndGet(-message.frame.size.toLong())
        counters.sent(message.type, message.frame.size)
    }

    /** Reads the next frame. Returns `null` if its length is zero, negative or above [maxBytes]. */
    suspend fun readFrame(maxBytes: Int): ByteArray? = readFrame(input, maxBytes)

    fun close() {
        queue.close()
        socket.close()
    }

    companion object {
        /** Reads a length-prefixed frame. Returns `null` if its length is zero, negative or above [maxBytes]. */
        suspend fun readFrame(
            input: ByteReadChannel,
            maxBytes: Int,
        ): ByteArray? {
            val size = input.readInt()
            return if (size in 1..maxBytes) input.readByteArray(size) else null
        }

        suspend fun writeFrame(
            output: ByteWriteChannel,
            frame: ByteArray,
        ) {
            output.writeInt(frame.size)
            output.writeByteArray(frame)
        }
    }
}
