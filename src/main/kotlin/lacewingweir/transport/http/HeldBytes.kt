package lacewingweir.transport.http

import java.util.concurrent.TimeUnit

/**
 * What responses hold for clients that read slowly.
 *
 * @property bytes the bytes that wait to be read
 * @property responses the number of responses whose clients have not read them at once
 * @property maxBytesOfOne the bytes of the response that holds most of them
 * @property ended the number of responses that were ended so far because their clients did not read
 */
public data class HeldFigures(
    val bytes: Long,
    val responses: Int,
    val maxBytesOfOne: Long,
    val ended: Long,
)

/**
 * Counts and bounds the bytes of responses that wait until clients read them, for all connections together.
 *
 * Only responses whose clients read slowly hold bytes for longer than a moment. A streamed response may hold as much as
 * all responses together leave free: half of [maxBytes] if it is the only one, a tenth if there are nine. So the first
 * responses don't keep later ones from holding any. A complete response needs room for all of it. If there is none, it
 * waits, and others are ended in its favour: that of the client that has read nothing for the longest time, or, if all
 * of them read, the one that has held bytes for the longest time.
 *
 * Each response may hold [GUARANTEED_BYTES] without regard to the others, so that clients that read at once never wait.
 *
 * Thread-safe.
 *
 * @param maxBytes the largest number of bytes of all responses; a complete response may exceed it if it is the only one
 * @param fullStallMillis how long the client of a streamed response that may hold no more may read nothing
 */
public class HeldBytes(
    private val maxBytes: Long = MAX_BYTES,
    private val fullStallMillis: Long = FULL_STALL_MILLIS,
    private val nanoTime: () -> Long = System::nanoTime,
) {
    private val lock = Any()
    private var totalBytes = 0L
    private val held = LinkedHashSet<Response>()
    private var ended = 0L

    /** What is held now. */
    public val figures: HeldFigures
        get() = synchronized(lock) { HeldFigures(totalBytes, held.size, held.maxOfOrNull { it.bytes } ?: 0, ended) }

    internal fun open(onEnd: (Unread) -> Unit) = Response(onEnd)

    /** What a response held when it was ended, of which its client had read nothing for [millis]. */
    internal class Unread(
        val bytes: Long,
        val millis: Long,
    )

    /** The part of one response. [onEnd] is called once if it must be ended because its client does not read. */
    internal inner class Response(
        private val onEnd: (Unread) -> Unit,
    ) {
        private var ownBytes = 0L
        private var heldSinceNanos = 0L
        private var lastReadNanos = 0L
        private var isEnded = false

        val bytes: Long
            get() = synchronized(lock) { ownBytes }

        /** How long the client has read nothing although bytes wait for it, in milliseconds. */
        val unreadMillis: Long
            get() = synchronized(lock) { unreadMillis(nanoTime()) }

        fun add(bytes: Int): Unit =
            synchronized(lock) {
                if (isEnded || bytes == 0) return
                if (ownBytes == 0L) {
                    heldSinceNanos = nanoTime()
                    lastReadNanos = heldSinceNanos
                    held += this
                }
                ownBytes += bytes
                totalBytes += bytes
            }

        /** Records that the connection has taken up [bytes]. */
        fun read(bytes: Int): Unit =
            synchronized(lock) {
                if (isEnded) return
                lastReadNanos = nanoTime()
                remove(bytes.toLong())
            }

        /** Whether a part of a streamed response can be added. */
        fun hasRoom(): Boolean = synchronized(lock) { ownBytes < GUARANTEED_BYTES || ownBytes < maxBytes - totalBytes }

        /** Whether a complete response of [bytes] can be added. */
        fun hasRoomFor(bytes: Int): Boolean =
            synchronized(lock) { bytes <= GUARANTEED_BYTES || totalBytes == 0L || totalBytes + bytes <= maxBytes }

        /** Ends a streamed response that waits for room if its client does not read at all. */
        fun endIfUnread() {
            if (unreadMillis >= fullStallMillis) end()
        }

        /** Ends another response if this one, a complete one, has waited for room for [waitedMillis]. */
        fun makeRoom(waitedMillis: Long) {
            val now = nanoTime()
            val victim =
                synchronized(lock) {
                    longestUnread(now) ?: if (waitedMillis < ROOM_WAIT_MILLIS) null else longestHeld()
                }
            victim?.end()
        }

        /** Ends the response because its client does not read. */
        fun end() = markEnded()?.let(onEnd)

        /** Gives back what is still held. */
        fun release() =
            synchronized(lock) {
                isEnded = true
                remove(ownBytes)
            }

        private fun markEnded(): Unread? =
            synchronized(lock) {
                if (isEnded) return null
                val unread = Unread(ownBytes, unreadMillis(nanoTime()))
                isEnded = true
                ended++
                remove(ownBytes)
                unread
            }

        private fun remove(bytes: Long) {
            ownBytes -= bytes
            totalBytes -= bytes
            if (ownBytes == 0L) held -= this
        }

        private fun unreadMillis(now: Long) =
            if (ownBytes == 0L) 0 else TimeUnit.NANOSECONDS.toMillis(now - lastReadNanos)

        private fun longestUnread(now: Long) =
            held.maxByOrNull { it.unreadMillis(now) }?.takeIf { it.unreadMillis(now) >= MIN_UNREAD_MILLIS }

        private fun longestHeld() = held.minByOrNull { it.heldSinceNanos }
    }

    public companion object {
        /** A sixth of the heap of an instance with 290 MB, which is 96 MB. */
        public const val MAX_BYTES: Long = 16L * 1024 * 1024

        /** What the output buffer of a connection takes up anyway. 400 callers hold 25 MB at most by it. */
        internal const val GUARANTEED_BYTES: Long = 64L * 1024

        /** An endpoint resets a response that is not read for some seconds, and must not be blamed for it. */
        public const val FULL_STALL_MILLIS: Long = 4_000

        /** A steady reader takes up the next segment within less time: 64 KB on loopback, at 100 KB/s. */
        internal const val MIN_UNREAD_MILLIS: Long = 1_000

        /** How long a response waits for others to be read before it takes the place of one that is read slowly. */
        internal const val ROOM_WAIT_MILLIS: Long = 1_000
    }
}
