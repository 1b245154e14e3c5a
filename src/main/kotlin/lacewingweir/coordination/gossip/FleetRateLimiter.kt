/** Fleet-wide rate limiting of customers, based on the digests of the instances. */
package lacewingweir.coordination.gossip

import lacewingweir.state.fleet.CustomerSpec
import lacewingweir.state.fleet.FleetConfig
import lacewingweir.state.id.CustomerId
import lacewingweir.state.rate.FleetUsageWindow
import lacewingweir.state.time.MonotonicClock
import kotlin.random.Random

/** The outcome of a request for tokens. */
internal sealed interface RateDecision {
    data object Admitted : RateDecision

    /**
     * The rate doesn't allow the tokens now. [usedTokens] are known to be used within the window, and live peers have
     * probably used [extrapolatedTokens] since their last digests. [livePeers] is the number of peers whose usage is
     * known, and [fleetSize] the number of all instances.
     */
    data class Refused(
        val retryAfterMillis: Long,
        val usedTokens: Long,
        val extrapolatedTokens: Long,
        val livePeers: Int,
        val fleetSize: Int,
    ) : RateDecision
}

/**
 * Admits requests within the token rates of customers. Each instance counts its own admissions immediately and those
 * of its peers when their digests arrive; until then it extrapolates them.
 *
 * @property windowMillis length of the sliding window of the rates
 * @property livePeers returns the names of the peers whose digests are still valid
 * @property fleetSize returns the number of all instances
 * @property random selects the requests to admit while demand exceeds the free tokens
 */
internal class FleetRateLimiter(
    private val clock: MonotonicClock,
    private val windowMillis: Long,
    private val livePeers: () -> Set<String>,
    private val fleetSize: () -> Int,
    private val random: Random = Random.Default,
) {
    private val windows = HashMap<CustomerId, FleetUsageWindow>()
    private var currentPeers = emptySet<String>()
    private var peersReadMillis = Long.MIN_VALUE

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
                        val hot = customer.id in hotCustomers
                        windows[customer.id] =
                            FleetUsageWindow(limit, windowMillis, hot, clock.nowMillis(), random)
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
        val peers = currentPeers(now)
        val instances = fleetSize()
        if (window.tryAdmit(tokens, now, peers, instances)) return RateDecision.Admitted
        return RateDecision.Refused(
            retryAfterMillis = window.millisUntilAvailable(now, peers, instances),
            usedTokens = window.total(now).toLong(),
            extrapolatedTokens = window.extrapolatedTokens(now).toLong(),
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
        val peers = currentPeers(now)
        val instances = fleetSize()
        for ((id, window) in windows) {
            val newTokens = previous?.let { admittedBetween(it, digest, id.value) } ?: 0
            val demand = digest.demands[id.value] ?: 0
            window.recordUsage(digest.instance, newTokens, now, demand.toDouble(), digest.intervalMillis)
            window.evaluate(now, peers, instances)
        }
    }

    private fun admittedBetween(
        previous: InstanceDigest,
        digest: InstanceDigest,
        customer: String,
    ) = maxOf(0, (digest.admittedTokens[customer] ?: 0) - (previous.admittedTokens[customer] ?: 0))

    /** Returns the peers live at most [PEERS_MAX_AGE_MILLIS] ago, since collecting them is slow in large fleets. */
    private fun currentPeers(nowMillis: Long): Set<String> {
        if (peersReadMillis == Long.MIN_VALUE || nowMillis - peersReadMillis >= PEERS_MAX_AGE_MILLIS) {
            peersReadMillis = nowMillis
            val peers = livePeers()
            if (peers != currentPeers) currentPeers = peers
        }
        return currentPeers
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

    /** Returns the recent demand for each customer at this instance in tokens per second. */
    @Synchronized
    fun demands(): Map<String, Long> {
        val now = clock.nowMillis()
        return windows.entries
            .associate { it.key.value to it.value.ownDemand(now).toLong() }
            .filterValues { it >= MIN_REPORTED_DEMAND }
    }

    private companion object {
        /** Short compared with the time after which a peer counts as silent, at least 1 s. */
        const val PEERS_MAX_AGE_MILLIS: Long = 50

        /** Smaller demands don't matter for a rate and would make digests larger. */
        const val MIN_REPORTED_DEMAND: Long = 100
    }
}
