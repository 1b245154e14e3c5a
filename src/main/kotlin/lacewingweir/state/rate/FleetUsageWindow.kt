/*
 * Fleet-wide rate limit of one customer, based on the usage within a sliding window as known to one instance.
 *
 * Tokens admitted by this instance count immediately, tokens admitted by others count when their digests arrive. Usage
 * is recorded per instance: while the digests of some instances do not arrive, the others limit themselves to their
 * fraction of the limit, so that the parts of a partitioned fleet together do not exceed it. An instance loses its
 * record when its process ends. A new instance therefore assumes some usage until a peer reports the actual total: a
 * full window for a customer known to be hot, that is, to use more than HOT_SHARE of its limit, and HOT_SHARE of a
 * window for any other.
 */
package lacewingweir.state.rate

import lacewingweir.state.fleet.RateLimit

/**
 * Limits one customer's tokens within a sliding window of [windowMillis] to the rate and burst of [limit].
 *
 * Not thread-safe; the caller synchronizes. Times are readings of the monotonic clock. [self] is the name of this
 * instance. [hot] is true if the customer was known to use most of its rate before this instance started.
 */
internal class FleetUsageWindow(
    private var limit: RateLimit,
    private val windowMillis: Long,
    private val self: String,
    hot: Boolean,
    nowMillis: Long,
) {
    private val usage = HashMap<String, SlidingWindowSum>()

    /** Usage before the start of this instance, not attributed to an instance. It expires as the window moves. */
    private val initialUsage =
        SlidingWindowSum(windowMillis).also {
            it.fill(allowedTokens() * if (hot) 1.0 else HOT_SHARE, nowMillis)
        }
    private var initialUsageIsAssumed = true

    /** Tokens that this instance has admitted since its start. Included in its digest. */
    var admittedTokens: Long = 0
        private set

    /** Returns the tokens that the fleet may admit within one window. */
    private fun allowedTokens(): Double = limit.perSecond * windowMillis / MILLIS_PER_SECOND + limit.burst

    /** Replaces the limit and keeps the recorded usage. */
    fun updateLimit(newLimit: RateLimit) {
        limit = newLimit
    }

    /**
     * Records [tokens] at [nowMillis] and returns true, or returns false if the window has no tokens left.
     *
     * The last request admitted may exceed the limit, so that large requests are not refused more often than small
     * ones. [livePeers] contains the other instances whose digests arrive, [instances] is the size of the whole fleet.
     */
    fun tryAdmit(
        tokens: Long,
        nowMillis: Long,
        livePeers: Set<String>,
        instances: Int,
    ): Boolean {
        if (availableTokens(nowMillis, livePeers, instances) < MIN_AVAILABLE_TOKENS) return false
        sumOf(self).add(tokens, nowMillis)
        admittedTokens += tokens
        return true
    }

    /** Estimates the milliseconds until tokens are available again if none are admitted in the meantime. */
    fun millisUntilAvailable(
        nowMillis: Long,
        livePeers: Set<String>,
        instances: Int,
    ): Long {
        val excessTokens = -availableTokens(nowMillis, livePeers, instances)
        val tokensPerMilli = maxOf(total(nowMillis, livePeers), 1.0) / windowMillis
        return (excessTokens / tokensPerMilli).toLong().coerceIn(MIN_WAIT_MILLIS, windowMillis)
    }

    /** Records [tokens] that [instance] admitted. */
    fun recordUsage(
        instance: String,
        tokens: Long,
        nowMillis: Long,
    ) = sumOf(instance).add(tokens, nowMillis)

    /** Returns the tokens of all instances within the window. New peers initialize their usage from it. */
    fun total(nowMillis: Long): Double = usage.values.sumOf { it.total(nowMillis) } + initialUsage.total(nowMillis)

    /** Replaces the usage assumed at the start with the [total] of a peer. Only the first call has an effect. */
    fun initializeUsage(
        total: Double,
        nowMillis: Long,
    ) {
        if (!initialUsageIsAssumed) return
        initialUsageIsAssumed = false
        initialUsage.fill(total, nowMillis)
    }

    /** Returns whether the usage within the window exceeds [HOT_SHARE] of the allowed tokens. */
    fun isHot(nowMillis: Long): Boolean = total(nowMillis) > allowedTokens() * HOT_SHARE

    /**
     * Returns the tokens left for this instance and [livePeers]. [initialUsage] belongs to the whole fleet, so it is
     * subtracted before the allowed tokens are divided.
     */
    private fun availableTokens(
        nowMillis: Long,
        livePeers: Set<String>,
        instances: Int,
    ): Double =
        (allowedTokens() - initialUsage.total(nowMillis)) * liveFraction(livePeers, instances) -
            total(nowMillis, livePeers)

    private fun total(
        nowMillis: Long,
        livePeers: Set<String>,
    ): Double = usage.entries.sumOf { if (it.key == self || it.key in livePeers) it.value.total(nowMillis) else 0.0 }

    private fun liveFraction(
        livePeers: Set<String>,
        instances: Int,
    ): Double = (livePeers.size + 1.0) / maxOf(instances, livePeers.size + 1)

    private fun sumOf(instance: String) = usage.getOrPut(instance) { SlidingWindowSum(windowMillis) }

    private companion object {
        const val MILLIS_PER_SECOND: Double = 1_000.0

        /** Share of the allowed tokens above which a customer is hot. */
        const val HOT_SHARE: Double = 0.6

        /** Tokens are whole numbers, so a smaller remainder is a rounding error. */
        const val MIN_AVAILABLE_TOKENS: Double = 1.0

        /** Usage does not leave the window within a shorter time. */
        const val MIN_WAIT_MILLIS: Long = 100
    }
}
