/** Admission by the customers' rates over the whole fleet. */
package lacewingweir.coordination.gossip

import lacewingweir.state.fleet.CustomerSpec
import lacewingweir.state.fleet.FleetConfig
import lacewingweir.state.id.CustomerId
import lacewingweir.state.rate.FleetWindow
import lacewingweir.state.time.MonotonicClock

/** Outcome of asking for tokens. */
internal sealed interface RateDecision {
    data object Admitted : RateDecision

    /** [usedTokens] of the window are known to be used; [heard] peers of [instances] instances told of theirs. */
    data class Refused(
        val retryAfterMillis: Long,
        val usedTokens: Long,
        val livePeers: Int,
        val fleetSize: Int,
    ) : RateDecision
}

/**
 * [heard] names the peers that are heard, [instances] counts all instances, [windowMillis] is the window of the rates.
 */
internal class FleetRateLimiter(
    private val clock: MonotonicClock,
    private val self: String,
    private val windowMillis: Long,
    private val heard: () -> Set<String>,
    private val instances: () -> Int,
) {
    private val windows = HashMap<CustomerId, FleetWindow>()

    /** Applies the rates of a new configuration. [hot] customers used most of theirs when it was last noted. */
    @Synchronized
    fun configure(
        config: FleetConfig,
        hot: Set<CustomerId>,
    ) {
        for (customer in config.customers) {
            val limit = customer.rate
            when (val known = windows[customer.id]) {
                null ->
                    if (limit !=
                        null
                    ) {
                        windows[customer.id] =
                            FleetWindow(limit, windowMillis, self, customer.id in hot, clock.nowMillis())
                    }
                else -> if (limit == null) windows.remove(customer.id) else known.reshape(limit)
            }
        }
    }

    /** Takes [tokens] from the rate of [customer]. */
    @Synchronized
    fun admit(
        customer: CustomerSpec,
        tokens: Long,
    ): RateDecision {
        val window = windows[customer.id] ?: return RateDecision.Admitted
        val now = clock.nowMillis()
        val peers = heard()
        val fleetSize = instances()
        if (window.tryTake(tokens, now, peers, fleetSize)) return RateDecision.Admitted
        return RateDecision.Refused(
            retryAfterMillis = window.millisUntilRoom(now, peers, fleetSize),
            usedTokens = window.total(now).toLong(),
            livePeers = peers.size,
            fleetSize = fleetSize,
        )
    }

    /** Counts what a peer admitted since [previous]. Its first digest of a run only sets the base. */
    @Synchronized
    fun onDigest(
        digest: InstanceDigest,
        previous: InstanceDigest?,
    ) {
        val now = clock.nowMillis()
        if (digest.settled) for ((id, window) in windows) window.inherit(digest.windows[id.value] ?: 0.0, now)
        if (previous == null) return
        for ((customer, total) in digest.admitted) {
            val news = total - (previous.admitted[customer] ?: 0)
            if (news > 0) windows[CustomerId(customer)]?.takenBy(digest.instance, news, now)
        }
    }

    /** Customers that use most of their rate. */
    @Synchronized
    fun hot(): Set<CustomerId> = windows.filterValues { it.isHot(clock.nowMillis()) }.keys

    /** Tokens admitted for each customer since the start. */
    @Synchronized
    fun admitted(): Map<String, Long> =
        windows.entries.filter { it.value.admitted > 0 }.associate {
            it.key.value to
                it.value.admitted
        }

    /** Tokens of the whole fleet in each customer's window. */
    @Synchronized
    fun windowTotals(): Map<String, Double> =
        windows.entries.associate { it.key.value to it.value.total(clock.nowMillis()) }
}
