/*
 * Fleet-wide rate limit of one customer, based on the usage within a sliding window as known to one instance.
 *
 * Tokens admitted by this instance count immediately. Tokens admitted by others are reported by their digests, up to
 * 1.2 s later in large fleets, and are extrapolated until then from the demand that their last digests reported. If the
 * demand of the fleet exceeds the tokens that are free or become free soon, all instances admit the same fraction of
 * the requests, so that together they don't use the same free tokens several times. A fraction of the requests is used
 * instead of a share of the tokens, because the share of one of 95 instances is often smaller than a single request.
 *
 * Usage is recorded per instance: while the digests of some instances do not arrive, the others limit themselves to
 * their fraction of the limit, so that the parts of a partitioned fleet together do not exceed it, and, while demand
 * exceeds the rate by far, to what is left if the silent ones go on as they last reported.
 *
 * An instance loses its record when its process ends. A new instance therefore assumes some usage until a peer reports
 * the actual total: a full window for a customer known to be hot, that is, to use more than HOT_SHARE of its limit, or
 * whose demand exceeds its rate by far, and HOT_SHARE of a window for any other. Otherwise a customer that floods a
 * fleet whose instances are all killed every few seconds would get the rest of a window after each kill.
 */
package lacewingweir.state.rate

import lacewingweir.state.fleet.RateLimit
import kotlin.random.Random

/**
 * Limits one customer's tokens within a sliding window of [windowMillis] to the rate and burst of [limit].
 *
 * Not thread-safe; the caller synchronizes. Times are readings of the monotonic clock. [hot] is true if the
 * customer was known to use most of its rate before this instance started. [random] selects the requests to admit while
 * demand exceeds the free tokens.
 */
internal class FleetUsageWindow(
    private var limit: RateLimit,
    private val windowMillis: Long,
    private val hot: Boolean,
    nowMillis: Long,
    private val random: Random = Random.Default,
) {
    /** What a peer reported: its usage, its demand, and when the last digest arrived. */
    private inner class PeerUsage(
        var reportedMillis: Long,
    ) {
        val reported = SlidingWindowSum(windowMillis)
        var demand = 0.0

        /** [openMillis] when the last digest arrived. */
        var openMillisAtReport = 0.0
    }

    private val peers = HashMap<String, PeerUsage>()
    private val ownUsage = SlidingWindowSum(windowMillis)
    private val ownDemand = DemandEstimate(DEMAND_TIME_CONSTANT_MILLIS)

    /** Usage of this instance and of all peers, also of silent ones. */
    private val allUsage = SlidingWindowSum(windowMillis)

    // Sums over the live peers, so that a request does not iterate over all of them.
    private var live = emptySet<String>()
    private var liveReported = SlidingWindowSum(windowMillis)
    private var liveDemand = 0.0
    private var liveDemandTimesOpenMillis = 0.0

    /** Peers whose digests have arrived before, but don't arrive any more. */
    private var silent = emptyList<PeerUsage>()

    private var digestIntervalMillis = 0L
    private val demandRise = DemandRise()

    /** The fraction of requests admitted since [evaluatedMillis], and its integral over time. */
    private var fraction = 1.0
    private var evaluatedMillis = nowMillis
    private var openMillis = 0.0

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
     * Records [tokens] at [nowMillis] and returns true, or returns false if the window has no tokens left for them.
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
        evaluate(nowMillis, livePeers, instances)
        // Counted later, so that a customer with few large requests isn't refused because of the request itself.
        ownDemand.add(tokens, nowMillis)
        if (fraction <= 0.0 || fraction < 1.0 && random.nextDouble() >= fraction) return false
        ownUsage.add(tokens, nowMillis)
        allUsage.add(tokens, nowMillis)
        admittedTokens += tokens
        return true
    }

    /**
     * Estimates the milliseconds until tokens are available again if none are admitted in the meantime. While a
     * fraction of the requests is admitted, this is the time for which the free tokens are divided.
     */
    fun millisUntilAvailable(
        nowMillis: Long,
        livePeers: Set<String>,
        instances: Int,
    ): Long {
        val available = availableTokens(nowMillis, livePeers, instances)
        val tokensPerMilli = maxOf(liveTotal(nowMillis), 1.0) / windowMillis
        val wait = if (available < MIN_AVAILABLE_TOKENS) -available / tokensPerMilli else horizonMillis().toDouble()
        return wait.toLong().coerceIn(MIN_WAIT_MILLIS, windowMillis)
    }

    /**
     * Records that [instance] admitted [tokens] since its previous digest. [demand] is its recent demand in tokens per
     * second, and [intervalMillis] the time until its next digest.
     */
    fun recordUsage(
        instance: String,
        tokens: Long,
        nowMillis: Long,
        demand: Double = 0.0,
        intervalMillis: Long = 0,
    ) {
        if (tokens == 0L && demand == 0.0 && instance !in peers) return
        val peer = peers.getOrPut(instance) { PeerUsage(nowMillis) }
        advanceOpenMillis(nowMillis)
        digestIntervalMillis = intervalMillis
        val fromMillis = nowMillis - (nowMillis - peer.reportedMillis) * BACKDATED_PERCENT / PERCENT
        peer.reported.addSince(tokens, fromMillis, nowMillis)
        allUsage.addSince(tokens, fromMillis, nowMillis)
        if (instance in live) {
            liveReported.addSince(tokens, fromMillis, nowMillis)
            liveDemand += demand - peer.demand
            liveDemandTimesOpenMillis += demand * openMillis - peer.demand * peer.openMillisAtReport
        }
        demandRise.add(peer.demand, demand, nowMillis, intervalMillis)
        peer.reportedMillis = nowMillis
        peer.demand = demand
        peer.openMillisAtReport = openMillis
    }

    /** Returns the recent demand at this instance in tokens per second, including refused requests. */
    fun ownDemand(nowMillis: Long): Double = ownDemand.tokensPerSecond(nowMillis)

    /** Returns the tokens of all instances within the window. New peers initialize their usage from it. */
    fun total(nowMillis: Long): Double = allUsage.total(nowMillis) + initialUsage.total(nowMillis)

    /** Returns the tokens that live peers have probably admitted since their last digests. */
    fun extrapolatedTokens(nowMillis: Long): Double {
        advanceOpenMillis(nowMillis)
        val sinceReports = liveDemand * openMillis - liveDemandTimesOpenMillis
        return maxOf(0.0, sinceReports / MILLIS_PER_SECOND * demandRise.factor(liveDemand, nowMillis))
    }

    /**
     * Replaces the usage assumed at the start with the part of the [total] of a peer that this instance hasn't recorded
     * since its start. Only the first call has an effect, and none once the assumed usage has left the window.
     */
    fun initializeUsage(
        total: Double,
        nowMillis: Long,
    ) {
        if (!initialUsageIsAssumed) return
        initialUsageIsAssumed = false
        if (initialUsage.total(nowMillis) <= 0.0) return
        initialUsage.fill(maxOf(0.0, total - allUsage.total(nowMillis)), nowMillis)
    }

    /** Returns whether the usage within the window exceeds [HOT_SHARE] of the allowed tokens. */
    fun isHot(nowMillis: Long): Boolean = total(nowMillis) > allowedTokens() * HOT_SHARE

    /** Determines which fraction of the requests is admitted from now on. */
    fun evaluate(
        nowMillis: Long,
        livePeers: Set<String>,
        instances: Int,
    ) {
        advanceOpenMillis(nowMillis)
        val available = availableTokens(nowMillis, livePeers, instances)
        fraction =
            when {
                available < MIN_AVAILABLE_TOKENS -> 0.0
                // All usage is known, so there is nothing to divide.
                livePeers.isEmpty() || liveDemand <= 0.0 -> 1.0
                else -> servableFraction(available, nowMillis, instances)
            }
    }

    private fun servableFraction(
        available: Double,
        nowMillis: Long,
        instances: Int,
    ): Double {
        val demand = ownDemand(nowMillis) + liveDemand * demandRise.factor(liveDemand, nowMillis)
        if (demand <= limit.perSecond * MODERATE_DEMAND) return 1.0
        val horizon = horizonMillis()
        val byLivePeers = available + expiringWithin(horizon, nowMillis, instances)
        val byAllPeers =
            tokensLeftByAll(nowMillis) + allUsage.expiringWithin(horizon, nowMillis) +
                initialUsage.expiringWithin(horizon, nowMillis)
        val usable = minOf(byLivePeers, byAllPeers) + allowance(nowMillis)
        return (usable * MILLIS_PER_SECOND / horizon / demand).coerceIn(0.0, 1.0)
    }

    /**
     * Returns the tokens that all instances have left, if silent peers go on as they last reported.
     *
     * Silent peers may use more than their equal part of the limit: where the digests of many are lost on a congested
     * link, instances that get most of a customer's requests may be among them.
     */
    private fun tokensLeftByAll(nowMillis: Long): Double {
        val sinceReports =
            recentlySilent(nowMillis).sumOf { it.demand * (openMillis - it.openMillisAtReport) } / MILLIS_PER_SECOND
        val known = allUsage.total(nowMillis) + extrapolatedTokens(nowMillis) + sinceReports * SILENT_FACTOR
        return allowedTokens() - usageBeforeStart(nowMillis) - known
    }

    /** Returns the silent peers whose usage may still be within the window. */
    private fun recentlySilent(nowMillis: Long) = silent.filter { nowMillis - it.reportedMillis < windowMillis }

    /**
     * Returns [ALLOWANCE_TOKENS], or none while usage is uncertain: usage before the start, since each crash would add
     * them, or that of silent peers.
     */
    private fun allowance(nowMillis: Long): Double {
        val isUncertain = initialUsage.total(nowMillis) > 0.0 || recentlySilent(nowMillis).isNotEmpty()
        return if (isUncertain) 0.0 else ALLOWANCE_TOKENS
    }

    /**
     * Returns the tokens left for this instance and [livePeers]. [initialUsage] belongs to the whole fleet, so it is
     * subtracted before the allowed tokens are divided.
     */
    private fun availableTokens(
        nowMillis: Long,
        livePeers: Set<String>,
        instances: Int,
    ): Double {
        followLivePeers(livePeers, nowMillis)
        return (allowedTokens() - usageBeforeStart(nowMillis)) * liveFraction(instances) - liveTotal(nowMillis)
    }

    /** While demand exceeds the rate by far, the usage before the start is assumed as for a hot customer. */
    private fun usageBeforeStart(nowMillis: Long): Double {
        val usage = initialUsage.total(nowMillis)
        val floods = ownDemand(nowMillis) + liveDemand > limit.perSecond * MODERATE_DEMAND
        return if (initialUsageIsAssumed && !hot && floods) usage / HOT_SHARE else usage
    }

    private fun liveTotal(nowMillis: Long) =
        ownUsage.total(nowMillis) + liveReported.total(nowMillis) + extrapolatedTokens(nowMillis)

    private fun expiringWithin(
        periodMillis: Long,
        nowMillis: Long,
        instances: Int,
    ) = ownUsage.expiringWithin(periodMillis, nowMillis) + liveReported.expiringWithin(periodMillis, nowMillis) +
        initialUsage.expiringWithin(periodMillis, nowMillis) * liveFraction(instances)

    private fun liveFraction(instances: Int): Double = (live.size + 1.0) / maxOf(instances, live.size + 1)

    /** The time over which free tokens are divided: until the next digests of the peers have arrived. */
    private fun horizonMillis() = maxOf(MIN_WAIT_MILLIS, digestIntervalMillis * HORIZON_PERCENT / PERCENT)

    private fun advanceOpenMillis(nowMillis: Long) {
        openMillis += fraction * (nowMillis - evaluatedMillis)
        evaluatedMillis = nowMillis
    }

    private fun followLivePeers(
        livePeers: Set<String>,
        nowMillis: Long,
    ) {
        if (livePeers === live) return
        val changed = livePeers != live
        live = livePeers
        if (!changed) return
        silent = peers.filterKeys { it !in livePeers }.values.toList()
        liveReported = SlidingWindowSum(windowMillis)
        liveDemand = 0.0
        liveDemandTimesOpenMillis = 0.0
        for (peer in livePeers.mapNotNull(peers::get)) {
            liveReported.addAll(peer.reported, nowMillis)
            liveDemand += peer.demand
            liveDemandTimesOpenMillis += peer.demand * peer.openMillisAtReport
        }
    }

    private companion object {
        const val MILLIS_PER_SECOND: Double = 1_000.0

        const val PERCENT: Long = 100

        /** Covers two intervals with their jitter, so that a lost digest matters little. */
        const val HORIZON_PERCENT: Long = 220

        /**
         * Up to this multiple of the rate, demand exceeds the limit only slightly before digests report it, and waves
         * of a customer that is below its rate on average must not be refused.
         */
        const val MODERATE_DEMAND: Double = 1.75

        /**
         * The part of the time since the previous digest over which reported tokens are spread. A flood may begin at
         * any time between two digests; with all of the time, its first tokens would leave the window too early.
         */
        const val BACKDATED_PERCENT: Long = 60

        /**
         * Short enough to show most of a flood in the first digests after its start. With 400 ms, a rise from 0.9 to 6
         * times the rate was underestimated for most of a digest interval, and usage reached 1.02 of what is tolerated.
         */
        const val DEMAND_TIME_CONSTANT_MILLIS: Double = 250.0

        /**
         * Tokens divided in addition to the free ones, about a third of the 140,000 tokens that a window tolerates
         * above the limit. Without them, chance variations of demand cause refusals below the rate.
         */
        const val ALLOWANCE_TOKENS: Double = 50_000.0

        /** Silent peers probably hear few others themselves, and admit a larger fraction of the requests. */
        const val SILENT_FACTOR: Double = 1.5

        /** Share of the allowed tokens above which a customer is hot. */
        const val HOT_SHARE: Double = 0.6

        /** Tokens are whole numbers, so a smaller remainder is a rounding error. */
        const val MIN_AVAILABLE_TOKENS: Double = 1.0

        /** Usage does not leave the window within a shorter time. */
        const val MIN_WAIT_MILLIS: Long = 100
    }
}
