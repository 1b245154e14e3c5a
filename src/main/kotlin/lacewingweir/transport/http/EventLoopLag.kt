/**
 * Notices when an event loop gets too little processor time, as after the start of many instances at once.
 *
 * A loop that lags reads requests long after they have arrived, and often finds the end of their connections only in
 * its next pass, since it reads one part of the input at a time. Their callers have left then, so the requests must not
 * be sent on.
 */
package lacewingweir.transport.http

import io.netty.channel.EventLoop
import kotlinx.coroutines.delay
import java.util.concurrent.TimeUnit

/** Measures the lag of [loop], on which [awaitNextPass] has to be called. */
internal class EventLoopLag(
    private val loop: EventLoop,
) {
    private var nextTickNanos = 0L
    private var laggedAtNanos: Long? = null

    @Volatile
    private var longestNanos = 0L

    private class HeldUp(
        val sinceNanos: Long,
        val untilNanos: Long,
    )

    @Volatile
    private var heldUp: HeldUp? = null

    @Volatile
    private var lastTickNanos = System.nanoTime()

    /** The longest time for which the loop was held up since [resetLongest], to the precision of a tick. */
    val longestMillis: Long
        get() = TimeUnit.NANOSECONDS.toMillis(longestNanos)

    /**
     * The time since the loop was last seen running without delay, in milliseconds. A delay that ended just now counts
     * too, since other threads of the process may go on a little later than the loop.
     */
    val unseenMillis: Long
        get() {
            // Read first, since the loop may tick at the same moment.
            val tickNanos = lastTickNanos
            val held = heldUp
            val now = System.nanoTime()
            val sinceNanos = if (held != null && now - held.untilNanos < JUST_NOW_NANOS) held.sinceNanos else tickNanos
            return TimeUnit.NANOSECONDS.toMillis(now - minOf(sinceNanos, tickNanos))
        }

    fun resetLongest() {
        longestNanos = 0L
    }

    /** Begins to measure. The lag before counts as high, since a process that starts is short of processor time. */
    fun start() {
        laggedAtNanos = System.nanoTime()
        lastTickNanos = System.nanoTime()
        scheduleTick()
    }

    private fun scheduleTick() {
        nextTickNanos = System.nanoTime() + TICK_NANOS
        loop.schedule(::tick, TICK_NANOS, TimeUnit.NANOSECONDS)
    }

    private fun tick() {
        val now = System.nanoTime()
        longestNanos = maxOf(longestNanos, now - nextTickNanos)
        if (isLate()) {
            laggedAtNanos = now
            val before = heldUp?.takeIf { lastTickNanos - it.untilNanos < JUST_NOW_NANOS }
            heldUp = HeldUp(sinceNanos = before?.sinceNanos ?: lastTickNanos, untilNanos = now)
        }
        lastTickNanos = now
        scheduleTick()
    }

    private fun isLate() = System.nanoTime() - nextTickNanos > HIGH_LAG_NANOS

    private fun hasLagged() = isLate() || laggedAtNanos?.let { System.nanoTime() - it < MEMORY_NANOS } ?: false

    /** If the loop lags or has lagged lately, waits until it has read what had arrived on its connections by now. */
    suspend fun awaitNextPass() {
        if (hasLagged()) delay(PASS_MILLIS)
    }

    internal companion object {
        private val TICK_NANOS: Long = TimeUnit.MILLISECONDS.toNanos(100)
        private val HIGH_LAG_NANOS: Long = TimeUnit.MILLISECONDS.toNanos(50)

        /** Requests that arrived while the loop lagged are read within this time. */
        private val MEMORY_NANOS: Long = TimeUnit.SECONDS.toNanos(1)

        /** Time in which other threads of the process go on after a delay that held up all of them. */
        private val JUST_NOW_NANOS: Long = TimeUnit.MILLISECONDS.toNanos(300)

        /** The shortest wait after which the loop goes on only with a further pass over its connections. */
        const val PASS_MILLIS: Long = 1
    }
}
