package lacewingweir.state.retry

import java.util.PriorityQueue

/**
 * Limits how often one instance sends a request again, to another endpoint of the same service.
 *
 * Unlike the limit of [RetryBudget], this limit applies to the whole fleet. Within any window of [windowMillis], the
 * repeats of all instances together may be at most [ratio] times the requests plus [extra]. Each instance has the part
 * of its own requests, and [extra] divided by the number of instances.
 *
 * A run of an instance doesn't know what a run shortly before it has used of the window. Therefore a run that follows
 * another and is younger than a window has only [NEW_RUN_SHARE] of what its own requests and its age entitle it to, and
 * any other has [USABLE_SHARE] of its part. Any window contains repeats of at most one run of an instance that becomes
 * older than a window, and of new runs that follow it, so the two shares bound it together however often instances
 * restart.
 *
 * A repeat counts from its reservation, because it may wait before it is sent, until a window after its endpoint has
 * read it, because a silent endpoint reads it later than it was sent. Not thread-safe; the owner must synchronize
 * access. Times are of the monotonic clock.
 *
 * @param startedAtMillis when the run of the instance began
 * @param mayFollowRun returns whether another run of the instance may have ended less than a window before that
 */
internal class RepeatBudget(
    private val windowMillis: Long,
    private val ratio: Double,
    private val extra: Double,
    private val startedAtMillis: Long,
    private val mayFollowRun: () -> Boolean = { true },
) {
    private val requestTimes = ArrayDeque<Long>()
    private val readTimes = PriorityQueue<Long>()
    private var reserved = 0

    /** Counts a request received from a caller, whether or not it is forwarded. */
    fun onRequest(nowMillis: Long) {
        expire(nowMillis)
        requestTimes.addLast(nowMillis)
    }

    /** Returns whether [tryReserve] would succeed now. */
    fun canReserve(
        nowMillis: Long,
        instances: Int,
    ): Boolean = repeatsInWindow(nowMillis) + 1 <= usable(nowMillis, instances)

    /**
     * Reserves a repeat of this instance's part among [instances] instances. Returns whether one was available. The
     * owner must call [onRead] or [release] for it.
     */
    fun tryReserve(
        nowMillis: Long,
        instances: Int,
    ): Boolean {
        if (!canReserve(nowMillis, instances)) return false
        reserved++
        return true
    }

    /** Records that a reserved repeat was sent, and is read at [latestMillis] at the latest. */
    fun onRead(latestMillis: Long) {
        reserved--
        readTimes.add(latestMillis)
    }

    /** Gives back a reserved repeat that won't be sent. */
    fun release() {
        reserved--
    }

    /** Returns the number of repeats that are reserved or may have been read within the window that ends now. */
    fun repeatsInWindow(nowMillis: Long): Int {
        expire(nowMillis)
        return reserved + readTimes.size
    }

    /**
     * Returns how many repeats the window that ends now may have at this instance. If [instances] is zero, their number
     * isn't known, and only the part of its own requests counts.
     */
    fun usable(
        nowMillis: Long,
        instances: Int,
    ): Double {
        expire(nowMillis)
        val earned = ratio * requestTimes.size
        val equalPart = if (instances > 0) extra / instances else 0.0
        val ageMillis = nowMillis - startedAtMillis
        if (ageMillis >= windowMillis || !mayFollowRun()) return USABLE_SHARE * (earned + equalPart)
        return NEW_RUN_SHARE * (earned + equalPart * ageMillis / windowMillis)
    }

    private fun expire(nowMillis: Long) {
        while (requestTimes.isNotEmpty() && requestTimes.first() < nowMillis - windowMillis) requestTimes.removeFirst()
        while (readTimes.isNotEmpty() && readTimes.peek() < nowMillis - windowMillis) readTimes.poll()
    }

    private companion object {
        const val USABLE_SHARE: Double = 0.7

        /** Leaves a tenth of the budget for instances that know of different numbers of peers. */
        const val NEW_RUN_SHARE: Double = 0.2
    }
}
