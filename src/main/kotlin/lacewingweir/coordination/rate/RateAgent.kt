/*
 * Fleet-wide rate limiting without a coordinator. Each instance holds a base share of every customer's rate, which is
 * assigned by epoch, and instances lend unused parts of it to each other for a limited time.
 */
package lacewingweir.coordination.rate

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.suspendCancellableCoroutine
import lacewingweir.coordination.bundle.BundleSource
import lacewingweir.coordination.membership.BaseShare
import lacewingweir.coordination.membership.ContactProof
import lacewingweir.coordination.membership.ShareSource
import lacewingweir.coordination.membership.ShrinkCheck
import lacewingweir.coordination.peer.Heartbeat
import lacewingweir.coordination.peer.LoanGrant
import lacewingweir.coordination.peer.LoanRefusal
import lacewingweir.coordination.peer.LoanRequest
import lacewingweir.coordination.peer.LoanReturn
import lacewingweir.coordination.peer.PeerAddress
import lacewingweir.coordination.peer.PeerMessage
import lacewingweir.coordination.peer.PeerNetwork
import lacewingweir.coordination.time.Subscription
import lacewingweir.coordination.time.TimerService
import lacewingweir.state.bundle.Bundle
import lacewingweir.state.bundle.Customer
import lacewingweir.state.id.CustomerId
import lacewingweir.state.id.InstanceName
import lacewingweir.state.time.MonotonicClock
import java.security.SecureRandom
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlin.random.Random
import kotlin.random.asKotlinRandom

private val logger = KotlinLogging.logger {}

/**
 * Admits requests from this instance's share of each customer's rate and borrows missing tokens from peers.
 *
 * [random] determines the first id of loans and loan requests. It must differ between processes, so that a delayed
 * message to an earlier process does not match a loan or request of this one.
 */
public class RateAgent(
    private val network: PeerNetwork,
    private val shares: ShareSource,
    private val proof: ContactProof,
    private val bundles: BundleSource,
    private val timers: TimerService,
    private val clock: MonotonicClock,
    private val settings: RateSettings = RateSettings(),
    private val metrics: RateMetrics = RateMetrics(),
    private val random: Random = SecureRandom().asKotlinRandom(),
) : RateAdmission,
    ShrinkCheck {
    private val limiters = ConcurrentHashMap<CustomerId, CustomerRateLimiter>()
    private val limitersByLoan = ConcurrentHashMap<Long, CustomerRateLimiter>()
    private val limitersByRequest = ConcurrentHashMap<Long, CustomerRateLimiter>()
    private val lastId = AtomicLong(random.nextLong(0, Long.MAX_VALUE / 2))
    private val startMillis = clock.nowMillis()
    private val context = Context()

    @Volatile
    private var bundleCustomers = BundleCustomers(null, emptyMap(), null)

    @Volatile
    private var stopRequested = false

    private val maintenanceTimer: Subscription =
        timers.every("rate-sweep", settings.sweepMillis) { maintain() }

    init {
        network.subscribe(::receive)
    }

    override suspend fun reserve(
        customer: CustomerId,
        tokens: Long,
    ): ReserveResult {
        require(tokens >= 0) { "tokens must not be negative" }
        refresh()
        val limiter =
            limiters[customer] ?: return ReserveResult.Refused(UNKNOWN_CUSTOMER_RETRY_MILLIS, "unknown customer")
        val result = limiter.locked { effects -> tryReserve(tokens, effects) }
        if (result != null) return result
        return suspendCancellableCoroutine { continuation ->
            val waiter = limiter.locked { effects -> enqueue(tokens, continuation, effects) }
            continuation.invokeOnCancellation { limiter.locked { effects -> cancel(waiter, effects) } }
        }
    }

    override fun hasShrunkTo(divisor: Int): Boolean {
        require(divisor > 0) { "divisor must be positive" }
        refresh()
        return limiters.values.all { synchronized(it) { it.hasShrunkTo(divisor) } }
    }

    /**
     * Returns the spare tokens by customer, to be sent in heartbeats.
     *
     * Contains at most [RateSettings.maxHintedCustomers] customers: first those for which peers requested loans most
     * recently, then those with the most spare tokens.
     */
    public fun rateHints(): Map<CustomerId, Long> {
        refresh()
        return limiters.values
            .map { synchronized(it) { it.spareTokens() } }
            .sortedWith(
                compareByDescending<CustomerRateLimiter.SpareTokens> { it.lastRequestMillis }
                    .thenByDescending { it.tokens },
            ).take(settings.maxHintedCustomers)
            .associate { it.customer to it.tokens }
    }

    /**
     * Refuses new requests, stops lending and borrowing, and returns all borrowed loans.
     *
     * Loans that reservations still need are kept until they expire, so call this after the last request has ended.
     */
    public suspend fun returnAllLoans() {
        stopRequested = true
        maintenanceTimer.cancel()
        limiters.values.forEach { limiter -> limiter.locked { effects -> returnAllLoans(effects) } }
        logger.info { "rate: returned borrowed loans on shutdown; checked ${limiters.size} customers" }
    }

    private fun maintain() {
        refresh()
        for (limiter in limiters.values) limiter.locked { effects -> maintainLoans(effects) }
        limitersByLoan.entries.removeIf { (loan, limiter) -> synchronized(limiter) { !limiter.hasLent(loan) } }
        limitersByRequest.entries.removeIf { (request, limiter) ->
            synchronized(limiter) { !limiter.hasPendingRequest(request) }
        }
        synchronized(this) {
            limiters.values.removeIf { it.id !in bundleCustomers.byId && synchronized(it) { it.isRemovable() } }
        }
    }

    /**
     * Applies a change of the bundle. Creates the limiter of every customer immediately, so that its refill starts with
     * the bundle and not with the first request.
     */
    private fun refresh() {
        val bundle = bundles.current()
        if (bundle === bundleCustomers.bundle) return
        synchronized(this) {
            if (bundle === bundleCustomers.bundle) return
            val byId = bundle?.customers.orEmpty().associateBy { it.id }
            val first = bundleCustomers.firstBundle ?: bundle
            bundleCustomers = BundleCustomers(bundle, byId, first)
            val now = if (bundle === first) startMillis else clock.nowMillis()
            for (id in byId.keys) {
                limiters.computeIfAbsent(id) {
                    CustomerRateLimiter(id, context, now, mayStartFull = bundle === first)
                }
            }
        }
    }

    private fun receive(
        from: PeerAddress,
        message: PeerMessage,
    ) {
        when (message) {
            is LoanRequest -> onRequest(from.name, message)
            is LoanGrant -> onGrant(from.name, message)
            is LoanRefusal -> onRefusal(from.name, message)
            is LoanReturn -> limitersByLoan[message.loan]?.locked { effects -> onReturn(from.name, message, effects) }
            is Heartbeat -> onHeartbeat(from.name, message)
            else -> Unit
        }
    }

    private fun onRequest(
        from: InstanceName,
        message: LoanRequest,
    ) {
        refresh()
        val limiter = limiters[message.customer]
        if (limiter == null || message.tokens <= 0) {
            network.send(from, LoanRefusal(message.request))
        } else {
            limiter.locked { effects -> onRequest(from, message, effects) }
        }
    }

    private fun onGrant(
        from: InstanceName,
        message: LoanGrant,
    ) {
        limitersByRequest.remove(message.request)
        limiters[message.customer]?.locked { effects -> onGrant(from, message, effects) }
    }

    private fun onRefusal(
        from: InstanceName,
        message: LoanRefusal,
    ) {
        limitersByRequest.remove(message.request)?.locked { effects -> onRefusal(message.request, from, effects) }
    }

    private fun onHeartbeat(
        from: InstanceName,
        message: Heartbeat,
    ) {
        for (limiter in limiters.values) synchronized(limiter) { limiter.setHint(from, message.rateHints[limiter.id]) }
    }

    /** Runs [step] under the monitor of this limiter, and then performs the collected effects without it. */
    private fun <T> CustomerRateLimiter.locked(step: CustomerRateLimiter.(CustomerRateLimiter.Effects) -> T): T {
        val effects = CustomerRateLimiter.Effects()
        val result = synchronized(this) { step(effects) }
        perform(effects)
        return result
    }

    private fun CustomerRateLimiter.perform(effects: CustomerRateLimiter.Effects) {
        for ((to, message) in effects.messages) {
            if (network.send(to, message)) continue
            when (message) {
                is LoanRequest -> synchronized(this) { onRequestNotSent(message.request, to) }
                is LoanGrant -> synchronized(this) { onGrantNotSent(to, message) }
                else -> Unit
            }
        }
        for ((waiter, result) in effects.results) {
            waiter.continuation.resume(result) { _, value, _ ->
                if (value is ReserveResult.Reserved) value.reservation.close()
            }
        }
        effects.queueCheckMillis?.let { delay ->
            timers.after("rate-wait", delay) { locked { effects -> checkQueue(effects) } }
        }
    }

    private class BundleCustomers(
        val bundle: Bundle?,
        val byId: Map<CustomerId, Customer>,
        val firstBundle: Bundle?,
    )

    private inner class Context : RateLimiterContext {
        override val settings get() = this@RateAgent.settings
        override val metrics get() = this@RateAgent.metrics
        override val clock get() = this@RateAgent.clock
        override val startMillis get() = this@RateAgent.startMillis
        override val stopping get() = stopRequested

        override fun share(): BaseShare? = shares.current()

        override fun proofAgeMillis(): Long = proof.ageMillis()

        override fun findCustomer(id: CustomerId): Customer? = bundleCustomers.byId[id]

        override fun peerNames(): List<InstanceName> = network.connectedPeers().map { it.name }

        override fun nextId(): Long = lastId.incrementAndGet()

        override fun withJitter(millis: Long): Long = millis + random.nextLong(-millis / 2, millis / 2 + 1)

        override fun registerLoan(
            loan: Long,
            limiter: CustomerRateLimiter,
        ) {
            limitersByLoan[loan] = limiter
        }

        override fun registerRequest(
            request: Long,
            limiter: CustomerRateLimiter,
        ) {
            limitersByRequest[request] = limiter
        }

        override fun createReservation(
            limiter: CustomerRateLimiter,
            tokens: Long,
        ): Reservation = LimiterReservation(limiter, tokens)
    }

    private inner class LimiterReservation(
        private val limiter: CustomerRateLimiter,
        private var remaining: Long,
    ) : Reservation {
        private var closed = false

        override fun consume(tokens: Long) {
            require(tokens >= 0) { "tokens must not be negative" }
            limiter.locked { effects ->
                // Once closed, the reservation covers no tokens, and all of [tokens] are an overdraft.
                val used = if (closed) 0 else minOf(tokens, remaining)
                remaining -= used
                finish(used, 0, tokens - used, effects)
            }
        }

        override fun close() {
            limiter.locked { effects ->
                if (!closed) {
                    closed = true
                    finish(0, remaining, 0, effects)
                    remaining = 0
                }
            }
        }
    }

    private companion object {
        private const val UNKNOWN_CUSTOMER_RETRY_MILLIS = 1_000L
    }
}
