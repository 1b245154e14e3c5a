/** Fleet-wide rate limiting of customers, based on the digests of the instances. */
package lacewingweir.coordination.gossip

import lacewingweir.state.fleet.CustomerSpec
import lacewingweir.state.fleet.FleetConfig
import lacewingweir.state.id.CustomerId
import lacewingweir.state.rate.FleetUsageWindow
import lacewingweir.state.time.MonotonicClock

/** The outcome of a request for tokens. */
internal sealed interface RateDecision {
    data object Admitted : RateDecision

    /**
     * The rate doesn't allow the tokens now. [usedTokens] are known to be used within the window. [livePeers] is the
     * number of peers whose usage is known, and [fleetSize] the number of all instances.
     */
    data class Refused(
        val retryAfterMillis: Long,
        val usedTokens: Long,
        val livePeers: Int,
        val fleetSize: Int,
    ) : RateDecision
}

/**
 * Admits requests within the token rates of customers. Each instance counts its own admissions immediately and those
 * of its peers when their digests arrive.
 *
 * @property windowMillis length of the sliding window of the rates
 * @property livePeers returns the names of the peers whose digests are still valid
 * @property fleetSize returns the number of all instances
 */
internal class FleetRateLimiter(
    private val clock: MonotonicClock,
    private val self: String,
    private val windowMillis: Long,
    private val livePeers: () -> Set<String>,
    private val fleetSize: () -> Int,
) {
    private val windows = HashMap<CustomerId, FleetUsageWindow>()

    /**
     * Applies the rates of a new configuration. [hotCustomers] are the customers that were last recorded as using most
     * of their rate.
     */
    @Synchronized
    fun configure(
        config: FleetConfig,
        hotCustomers: Set<CustomerId>,
    ) {
        for (customer in config.customers) {
            val limit = customer.rate
            when (val existing = windows[customer.id]) {
                null ->
                    if (limit != null) {
                        windows[customer.id] =
                            FleetUsageWindow(limit, windowMillis, self, customer.id in hotCustomers, clock.nowMillis())
                    }
                else -> if (limit == null) windows.remove(customer.id) else existing.updateLimit(limit)
            }
        }
    }

    /** Admits [tokens] of [customer] if its rate allows them. A customer without a rate is always admitted. */
    @Synchronized
    fun admit(
        customer: CustomerSpec,
        tokens: Long,
    ): RateDecision {
        val window = windows[customer.id] ?: return RateDecision.Admitted
        val now = clock.nowMillis()
        val peers = livePeers()
        val instances = fleetSize()
        if (window.tryAdmit(tokens, now, peers, instances)) return RateDecision.Admitted
        return RateDecision.Refused(
            retryAfterMillis = window.millisUntilAvailable(now, peers, instances),
            usedTokens = window.total(now).toLong(),
            livePeers = peers.size,
            fleetSize = instances,
        )
    }

    /**
     * Counts the tokens that a peer admitted since [previous], its digest before [digest]. The first digest of a run,
     * for which [previous] is null, only provides the totals that the next one is compared with.
     */
    @Synchronized
    fun onDigest(
        digest: InstanceDigest,
        previous: InstanceDigest?,
    ) {
        val now = clock.nowMillis()
        digest.windowTotals?.let { totals ->
            for ((id, window) in windows) window.initializeUsage((totals[id.value] ?: 0).toDouble(), now)
        }
        if (previous == null) return
        for ((customer, total) in digest.admittedTokens) {
            val newTokens = total - (previous.admittedTokens[customer] ?: 0)
            if (newTokens > 0) windows[CustomerId(customer)]?.recordUsage(digest.instance, newTokens, now)
        }
    }

    /** Returns the customers that use most of their rate. */
    @Synchronized
    fun hotCustomers(): Set<CustomerId> = windows.filterValues { it.isHot(clock.nowMillis()) }.keys

    /** Returns the tokens that this instance admitted for each customer since its start. */
    @Synchronized
    fun admittedTokens(): Map<String, Long> =
        windows.entries
            .filter { it.value.admittedTokens > 0 }
            .associate { it.key.value to it.value.admittedTokens }

    /** Returns the tokens that the whole fleet used within each customer's window. */
    @Synchronized
    fun windowTotals(): Map<String, Long> {
        val now = clock.nowMillis()
        return windows.entries.associate { it.key.value to it.value.total(now).toLong() }
    }
}
