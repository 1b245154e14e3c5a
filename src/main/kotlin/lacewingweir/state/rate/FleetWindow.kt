/**
 * One customer's tokens over the whole fleet within a sliding window, as one instance knows them.
 *
 * What this instance admits counts at once, what the others admitted counts when their digests arrive. Usage is kept
 * for each instance, so that while some are silent the others hold themselves to their part of the limit, and the
 * parts of a split fleet together never exceed it. What an instance admitted is forgotten when it ends; one that has
 * just started assumes usage until a peer tells it better: a full window of a customer known to use most of its rate,
 * else a part.
 */
package lacewingweir.state.rate

import lacewingweir.state.fleet.RateLimit

/** Not thread-safe; the owner synchronises. Times are of the monotonic clock. */
internal class FleetWindow(
    private var limit: RateLimit,
    private val windowMillis: Long,
    private val self: String,
    hot: Boolean,
    nowMillis: Long,
) {
    private val used = HashMap<String, SlidingSum>()

    /** Usage of instances before they could be told apart; it fades as the window moves on. */
    private val inherited =
        SlidingSum(
            windowMillis,
        ).also { it.fill(allowance() * if (hot) 1.0 else HOT_SHARE, nowMillis) }
    private var inheritedIsGuess = true

    /** Total that this instance admitted; part of its digest. */
    var admitted: Long = 0
        private set

    /** Tokens that may be admitted within a window. */
    private fun allowance(): Double = limit.perSecond * windowMillis / MILLIS_PER_SECOND + limit.burst

    fun reshape(changed: RateLimit) {
        limit = changed
    }

    /**
     * Takes [tokens] at [nowMillis] unless the window is used up. The last request may exceed the limit, so that large
     * ones are not turned away more often than small ones. [heard] names the instances that are heard, this one
     * excluded, [instances] counts all.
     */
    fun tryTake(
        tokens: Long,
        nowMillis: Long,
        heard: Set<String>,
        instances: Int,
    ): Boolean {
        if (room(nowMillis, heard, instances) < MIN_ROOM_TOKENS) return false
        sumOf(self).add(tokens, nowMillis)
        admitted += tokens
        return true
    }

    /** Milliseconds until the window has room again if nobody takes anything. */
    fun millisUntilRoom(
        nowMillis: Long,
        heard: Set<String>,
        instances: Int,
    ): Long {
        val excess = -room(nowMillis, heard, instances)
        val perMilli = maxOf(total(nowMillis, heard), 1.0) / windowMillis
        return (excess / perMilli).toLong().coerceIn(MIN_WAIT_MILLIS, windowMillis)
    }

    /** Counts [tokens] that [instance] admitted. */
    fun takenBy(
        instance: String,
        tokens: Long,
        nowMillis: Long,
    ) = sumOf(instance).add(tokens, nowMillis)

    /** Tokens of all instances within the window, for peers that have just started. */
    fun total(nowMillis: Long): Double = used.values.sumOf { it.total(nowMillis) } + inherited.total(nowMillis)

    /** Replaces the guess of a new instance by what a peer knows. */
    fun inherit(
        total: Double,
        nowMillis: Long,
    ) {
        if (!inheritedIsGuess) return
        inheritedIsGuess = false
        inherited.fill(total, nowMillis)
    }

    /** Whether most of the allowance is used. */
    fun isHot(nowMillis: Long): Boolean = total(nowMillis) > allowance() * HOT_SHARE

    /** What is left for the part of the fleet that hears each other; inherited usage is of the whole fleet. */
    private fun room(
        nowMillis: Long,
        heard: Set<String>,
        instances: Int,
    ): Double = (allowance() - inherited.total(nowMillis)) * part(heard, instances) - total(nowMillis, heard)

    private fun total(
        nowMillis: Long,
        heard: Set<String>,
    ): Double = used.entries.sumOf { if (it.key == self || it.key in heard) it.value.total(nowMillis) else 0.0 }

    private fun part(
        heard: Set<String>,
        instances: Int,
    ): Double = (heard.size + 1.0) / maxOf(instances, heard.size + 1)

    private fun sumOf(instance: String) = used.getOrPut(instance) { SlidingSum(windowMillis) }

    private companion object {
        const val MILLIS_PER_SECOND: Double = 1_000.0

        /** Share of the allowance above which a customer counts as hot. */
        const val HOT_SHARE: Double = 0.6

        /** Tokens are whole; a smaller rest comes from rounding. */
        const val MIN_ROOM_TOKENS: Double = 1.0

        /** Sooner than this nothing has left the window. */
        const val MIN_WAIT_MILLIS: Long = 100
    }
}
