/**
 * The memory of request bodies.
 *
 * A request is handled once its body has arrived, so a body takes up memory for as long as its client sends, and then
 * until its request is answered. Without a bound for all connections together, a few dozen uploads use up the memory of
 * an instance, and then it can read nothing from anyone.
 */
package lacewingweir.transport.http

import io.netty.buffer.ByteBuf
import java.util.concurrent.atomic.AtomicLong

/**
 * What request bodies hold.
 *
 * @property bytes the bytes that are reserved for large bodies
 * @property refused the number of requests that were refused so far because there was no room for their bodies
 */
public data class RequestBodyFigures(
    val bytes: Long,
    val refused: Long,
)

/**
 * Bounds the bytes of request bodies, for all connections together.
 *
 * Room is reserved for a whole body when its head arrives, so that an upload that can't be handled is refused before
 * its client has sent it. A body without a declared length is refused where its room ends. [GUARANTEED_BYTES] of each
 * body don't count, so that uploads never get other requests refused.
 *
 * Thread-safe.
 *
 * @param maxBytes the largest number of bytes of all bodies; a body may exceed it if it is the only one
 */
public class RequestBodies(
    maxBytes: Long = MAX_BYTES,
) {
    private val budget = BufferBudget(maxBytes, admitsAnyAlone = true)
    private val refused = AtomicLong()

    /** What is held now. */
    public val figures: RequestBodyFigures
        get() = RequestBodyFigures(budget.usedBytes, refused.get())

    /** Returns an empty body with room for [expectedBytes], or null if there is not enough. */
    internal fun open(expectedBytes: Int): RequestBody? =
        RequestBody(budget.reserve(), expectedBytes).takeIf { it.hasRoom }

    /** Records that a request was refused because there was no room for its body. */
    internal fun onRefused() {
        refused.incrementAndGet()
    }

    public companion object {
        /** A quarter of the heap of an instance with 290 MB, which is 96 MB. */
        public const val MAX_BYTES: Long = 24L * 1024 * 1024

        /** Holds the body of nearly every request that isn't an upload. */
        internal const val GUARANTEED_BYTES: Int = 128 * 1024
    }
}

/** A body that is being received, in its [room]. [close] drops it and gives the room back. */
internal class RequestBody(
    private val room: BufferBudget.Buffer,
    private val expectedBytes: Int,
) : AutoCloseable {
    private var bytes = EMPTY

    /** The number of bytes that have been received. */
    var size = 0
        private set

    /** Whether there was room for the expected size. */
    val hasRoom: Boolean = tryReserve(expectedBytes)

    /** Appends [part]. Returns false if there is no room for it. */
    fun tryAppend(part: ByteBuf): Boolean {
        val partBytes = part.readableBytes()
        if (!tryReserve(size + partBytes)) return false
        if (bytes.size < size + partBytes) bytes = bytes.copyOf(capacityFor(size + partBytes))
        part.readBytes(bytes, size, partBytes)
        size += partBytes
        return true
    }

    fun toByteArray(): ByteArray = if (bytes.size == size) bytes else bytes.copyOf(size)

    /** Doubles the capacity, up to the expected size. Bodies without a declared length have none. */
    private fun capacityFor(newSize: Int): Int {
        val doubled = maxOf(bytes.size * 2, MIN_CAPACITY)
        return maxOf(newSize, if (expectedBytes > 0) minOf(doubled, expectedBytes) else doubled)
    }

    private fun tryReserve(totalBytes: Int): Boolean {
        val missing = totalBytes - RequestBodies.GUARANTEED_BYTES - room.bytes
        return missing <= 0 || room.tryAdd(missing.toInt())
    }

    override fun close() {
        bytes = EMPTY
        room.close()
    }

    private companion object {
        val EMPTY = ByteArray(0)
        const val MIN_CAPACITY: Int = 64 * 1024
    }
}
