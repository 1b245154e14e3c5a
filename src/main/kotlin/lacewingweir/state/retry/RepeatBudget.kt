/** An instance's part of the fleet's budget for sending requests to a second endpoint of one service. */
package lacewingweir.state.retry

/**
 * Bounds repeats in a sliding window to a share of the first sends plus a fixed number, both divided by the number of
 * instances where they are fixed. Not thread-safe; the owner synchronises. Times are of the monotonic clock.
 */
internal class RepeatBudget(
    private val windowMillis: Long,
    private val ratio: Double,
    private val extra: Double,
) {
    private val firsts = ArrayDeque<Long>()
    private val repeats = ArrayDeque<Long>()

    /** Counts a request that callers sent, whether it is passed on or not. */
    fun onRequest(nowMillis: Long) {
        expire(nowMillis)
        firsts.addLast(nowMillis)
    }

    /** Whether [tryRepeat] would succeed now. */
    fun canRepeat(
        nowMillis: Long,
        instances: Int,
    ): Boolean {
        expire(nowMillis)
        return repeats.size + 1 <= (ratio * firsts.size + extra / instances.coerceAtLeast(1)) * USED_SHARE
    }

    /** Takes one repeat if the budget has one left for each of [instances] instances. */
    fun tryRepeat(
        nowMillis: Long,
        instances: Int,
    ): Boolean {
        if (!canRepeat(nowMillis, instances)) return false
        repeats.addLast(nowMillis)
        return true
    }

    private fun expire(nowMillis: Long) {
        while (firsts.isNotEmpty() && firsts.first() < nowMillis - windowMillis) firsts.removeFirst()
        while (repeats.isNotEmpty() && repeats.first() < nowMillis - windowMillis) repeats.removeFirst()
    }

    private companion object {
        /** Leaves room for instances that restart within a window and forget what they spent. */
        const val USED_SHARE: Double = 0.7
    }
}
