/*
 * Fleet-wide rate limit without a coordinator: base shares by epoch plus loans between instances (section 5.3).
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
 * Admits requests out of this instance's share of each customer's rate and borrows from peers what it lacks.
 *
 * [random] seeds the numbers of loans and requests; it must differ between processes, since a number of an earlier
 * process that comes back late must not match one of this process.
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
    private val customers = ConcurrentHashMap<CustomerId, CustomerRate>()
    private val loans = ConcurrentHashMap<Long, CustomerRate>()
    private val asked = ConcurrentHashMap<Long, CustomerRate>()
    private val numbers = AtomicLong(random.nextLong(0, Long.MAX_VALUE / 2))
    private val startMillis = clock.nowMillis()
    private val owner = Owner()

    @Volatile
    private var limits = Limits(null, emptyMap(), null)

    @Volatile
    private var stopping = false

    private val sweeps: Subscription =
        timers.every("rate-sweep", settings.sweepMillis) { sweep() }

    init {
        network.subscribe(::receive)
    }

    override suspend fun reserve(
        customer: CustomerId,
        tokens: Long,
    ): ReserveResult {
        require(tokens >= 0) { "negative number of tokens" }
        refresh()
        val rate = customers[customer] ?: return ReserveResult.Refused(UNKNOWN_RETRY_MILLIS, "unknown customer")
        val result = rate.locked { effects -> tryReserve(tokens, effects) }
        if (result != null) return result
        return suspendCancellableCoroutine { continuation ->
            val waiter = rate.locked { effects -> enqueue(tokens, continuation, effects) }
            continuation.invokeOnCancellation { rate.locked { effects -> cancel(waiter, effects) } }
        }
    }

    override fun hasShrunkTo(divisor: Int): Boolean {
        require(divisor > 0) { "divisor must be positive" }
        refresh()
        return customers.values.all { synchronized(it) { it.hasShrunkTo(divisor) } }
    }

    /**
     * Spare tokens of the customers that peers asked for most recently, then of those with most to spare. Bounded to
     * [RateSettings.maxHints] customers. Belongs into heartbeats.
     */
    public fun rateHints(): Map<CustomerId, Long> {
        refresh()
        return customers.values
            .map { synchronized(it) { it.spare() } }
            .sortedWith(compareByDescending<CustomerRate.Spare> { it.askedMillis }.thenByDescending { it.tokens })
            .take(settings.maxHints)
            .associate { it.customer to it.tokens }
    }

    /**
     * Refuses new requests, stops lending and gives all loans back. Loans that running requests still need stay until
     * they end by time, so this belongs after the last request.
     */
    public suspend fun returnAll() {
        stopping = true
        sweeps.cancel()
        customers.values.forEach { rate -> rate.locked { effects -> returnAll(effects) } }
        logger.info { "rate: returned loans of ${customers.size} customers" }
    }

    private fun sweep() {
        refresh()
        for (rate in customers.values) rate.locked { effects -> sweep(effects) }
        loans.entries.removeIf { (loan, rate) -> synchronized(rate) { !rate.hasGiven(loan) } }
        asked.entries.removeIf { (request, rate) -> synchronized(rate) { !rate.hasAsked(request) } }
        synchronized(this) {
            customers.values.removeIf { it.id !in limits.byId && synchronized(it) { it.isDisused() } }
        }
    }

    /** Follows a change of the bundle. Every customer has an account at once, so that its refill starts to count. */
    private fun refresh() {
        val bundle = bundles.current()
        if (bundle === limits.bundle) return
        synchronized(this) {
            if (bundle === limits.bundle) return
            val byId = bundle?.customers.orEmpty().associateBy { it.id }
            val first = limits.firstBundle ?: bundle
            limits = Limits(bundle, byId, first)
            val now = if (bundle === first) startMillis else clock.nowMillis()
            for (id in byId.keys) {
                customers.computeIfAbsent(id) { CustomerRate(id, owner, now, startsFullAllowed = bundle === first) }
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
            is LoanReturn -> loans[message.loan]?.locked { effects -> onReturn(from.name, message, effects) }
            is Heartbeat -> onHeartbeat(from.name, message)
            else -> Unit
        }
    }

    private fun onRequest(
        from: InstanceName,
        message: LoanRequest,
    ) {
        refresh()
        val rate = customers[message.customer]
        if (rate == null || message.tokens <= 0) {
            network.send(from, LoanRefusal(message.request))
        } else {
            rate.locked { effects -> onRequest(from, message, effects) }
        }
    }

    private fun onGrant(
        from: InstanceName,
        message: LoanGrant,
    ) {
        asked.remove(message.request)
        customers[message.customer]?.locked { effects -> onGrant(from, message, effects) }
    }

    private fun onRefusal(
        from: InstanceName,
        message: LoanRefusal,
    ) {
        asked.remove(message.request)?.locked { effects -> onRefusal(message.request, from, effects) }
    }

    private fun onHeartbeat(
        from: InstanceName,
        message: Heartbeat,
    ) {
        for (rate in customers.values) synchronized(rate) { rate.hint(from, message.rateHints[rate.id]) }
    }

    private fun <T> CustomerRate.locked(step: CustomerRate.(CustomerRate.Effects) -> T): T {
        val effects = CustomerRate.Effects()
        val result = synchronized(this) { step(effects) }
        carryOut(effects)
        return result
    }

    private fun CustomerRate.carryOut(effects: CustomerRate.Effects) {
        for ((to, message) in effects.sends) {
            if (network.send(to, message)) continue
            when (message) {
                is LoanRequest -> synchronized(this) { askFailed(message.request, to) }
                is LoanGrant -> synchronized(this) { grantFailed(to, message) }
                else -> Unit
            }
        }
        for ((waiter, result) in effects.results) {
            waiter.continuation.resume(result) { _, value, _ ->
                if (value is ReserveResult.Reserved) value.reservation.close()
            }
        }
        effects.tickMillis?.let { delay -> timers.after("rate-wait", delay) { locked { effects -> tick(effects) } } }
    }

    private class Limits(
        val bundle: Bundle?,
        val byId: Map<CustomerId, Customer>,
        val firstBundle: Bundle?,
    )

    private inner class Owner : RateOwner {
        override val settings get() = this@RateAgent.settings
        override val metrics get() = this@RateAgent.metrics
        override val clock get() = this@RateAgent.clock
        override val startMillis get() = this@RateAgent.startMillis
        override val stopped get() = stopping

        override fun share(): BaseShare? = shares.current()

        override fun proofAgeMillis(): Long = proof.ageMillis()

        override fun limit(id: CustomerId): Customer? = limits.byId[id]

        override fun peerNames(): List<InstanceName> = network.connectedPeers().map { it.name }

        override fun nextNumber(): Long = numbers.incrementAndGet()

        override fun jittered(millis: Long): Long = millis + random.nextLong(-millis / 2, millis / 2 + 1)

        override fun loanGiven(
            loan: Long,
            customer: CustomerRate,
        ) {
            loans[loan] = customer
        }

        override fun asked(
            request: Long,
            customer: CustomerRate,
        ) {
            asked[request] = customer
        }

        override fun reservation(
            customer: CustomerRate,
            tokens: Long,
        ): Reservation = Held(customer, tokens)
    }

    private inner class Held(
        private val rate: CustomerRate,
        private var remaining: Long,
    ) : Reservation {
        private var closed = false

        override fun settle(tokens: Long) {
            require(tokens >= 0) { "negative number of tokens" }
            rate.locked { effects ->
                // After the return of the rest nothing is covered any more.
                val used = if (closed) 0 else minOf(tokens, remaining)
                remaining -= used
                finish(used, 0, tokens - used, effects)
            }
        }

        override fun close() {
            rate.locked { effects ->
                if (!closed) {
                    closed = true
                    finish(0, remaining, 0, effects)
                    remaining = 0
                }
            }
        }
    }

    private companion object {
        private const val UNKNOWN_RETRY_MILLIS = 1_000L
    }
}
