package lacewingweir.coordination.rate

import kotlinx.coroutines.CancellableContinuation
import lacewingweir.coordination.membership.BaseShare
import lacewingweir.coordination.peer.LoanGrant
import lacewingweir.coordination.peer.LoanRefusal
import lacewingweir.coordination.peer.LoanRequest
import lacewingweir.coordination.peer.LoanReturn
import lacewingweir.coordination.peer.PeerMessage
import lacewingweir.state.bundle.Customer
import lacewingweir.state.id.CustomerId
import lacewingweir.state.id.InstanceName
import lacewingweir.state.rate.BorrowerLoan
import lacewingweir.state.rate.DemandEstimate
import lacewingweir.state.rate.LocalQuota
import lacewingweir.state.rate.MICROS_PER_MILLI_IN_TOKEN_PER_SECOND
import lacewingweir.state.rate.MICROS_PER_TOKEN
import kotlin.math.roundToLong

/**
 * Applies the rate limit of one customer in one instance: its quota, the waiting requests and the loan requests.
 *
 * The caller holds this object's monitor during every call. The monitor is never held across a suspension or a send:
 * messages to send and requests to resume are collected in [Effects], and [RateAgent] processes them afterwards.
 */
internal class CustomerRateLimiter(
    val id: CustomerId,
    private val context: RateLimiterContext,
    startMillis: Long,
    private var mayStartFull: Boolean,
) {
    private val settings = context.settings
    private val metrics = context.metrics
    private val quota = LocalQuota(startMillis, settings.loanTerms)
    private val demand = DemandEstimate()
    private val waiters = ArrayDeque<Waiter>()
    private val loanRequests = LoanRequestTracker(context)
    private val renewedLoans = HashSet<Long>()
    private var customer: Customer? = null
    private var share: BaseShare? = null
    private var priorLoansPossible = true
    private var lastEpoch = Long.MIN_VALUE
    private var nextLookAheadMillis = Long.MIN_VALUE
    private var nextRequestFromAllMillis = Long.MIN_VALUE
    private var queueCheckPending = false
    private var lastLoanRequestMillis = Long.MIN_VALUE

    /** A request that waits for tokens. */
    class Waiter(
        val tokens: Long,
        val sinceMillis: Long,
        val deadlineMillis: Long,
        val continuation: CancellableContinuation<ReserveResult>,
    )

    /** The tokens that could be lent, and the time at which a peer last requested a loan. */
    class SpareTokens(
        val customer: CustomerId,
        val tokens: Long,
        val lastRequestMillis: Long,
    )

    /**
     * Actions to perform after the monitor is released: messages to send, requests to resume, and, if not null, the
     * delay in milliseconds after which to call [checkQueue].
     */
    class Effects {
        val messages = ArrayList<Pair<InstanceName, PeerMessage>>(0)
        val results = ArrayList<Pair<Waiter, ReserveResult>>(0)
        var queueCheckMillis: Long? = null
    }

    /** Reserves [tokens] or refuses the request immediately. Returns null if the request has to wait. */
    fun tryReserve(
        tokens: Long,
        effects: Effects,
    ): ReserveResult? {
        val now = updateQuota()
        val refusal = refusalWithoutWait(tokens)
        if (refusal != null) return refusal
        if (waiters.isEmpty() && quota.bucket.reserve(tokens * MICROS_PER_TOKEN)) {
            demand.add(tokens, now)
            borrowAhead(now, effects)
            return admitted(tokens)
        }
        return if (waiters.size >= settings.maxWaitingRequests) outOfTokensRefusal(tokens) else null
    }

    /** Returns a refusal if waiting can't help a request for [tokens], and null otherwise. */
    private fun refusalWithoutWait(tokens: Long): ReserveResult? {
        val burst = customer?.burstTokens
        return when {
            burst == null -> refused(MAX_RETRY_MILLIS, "unknown customer", "unknown")
            tokens > burst ->
                refused(MAX_RETRY_MILLIS, "request needs $tokens tokens, above the customer's burst of $burst", "burst")
            context.stopping -> refused(MILLIS_PER_SECOND, "instance is shutting down", "stopped")
            else -> null
        }
    }

    /**
     * Queues a request for which [tryReserve] returned null. The request may be answered immediately if tokens have
     * become available in the meantime.
     */
    fun enqueue(
        tokens: Long,
        continuation: CancellableContinuation<ReserveResult>,
        effects: Effects,
    ): Waiter {
        val now = updateQuota()
        val waiter = Waiter(tokens, now, now + settings.maxWaitMillis, continuation)
        demand.add(tokens, now)
        waiters.addLast(waiter)
        serveWaiters(now, effects)
        return waiter
    }

    /** Removes a waiting request that its caller has cancelled. */
    fun cancel(
        waiter: Waiter,
        effects: Effects,
    ) {
        if (waiters.remove(waiter)) serveWaiters(updateQuota(), effects)
    }

    /**
     * Consumes [used] tokens of a reservation, releases [unused] tokens of it, and overdraws the quota by [overdraft]
     * tokens that were not reserved.
     */
    fun finish(
        used: Long,
        unused: Long,
        overdraft: Long,
        effects: Effects,
    ) {
        val now = updateQuota()
        quota.bucket.consume(used * MICROS_PER_TOKEN)
        quota.bucket.release(unused * MICROS_PER_TOKEN)
        quota.bucket.overdraw(overdraft * MICROS_PER_TOKEN)
        if (overdraft > 0) metrics.overdraftTokens.inc(overdraft)
        if (unused > 0 && waiters.isNotEmpty()) serveWaiters(now, effects)
    }

    /** Serves the waiting requests for which tokens are available and refuses those whose deadline has passed. */
    fun checkQueue(effects: Effects) {
        queueCheckPending = false
        serveWaiters(updateQuota(), effects)
    }

    /** Expires, renews and returns loans and removes old loan requests. Called periodically. */
    fun maintainLoans(effects: Effects) {
        val now = updateQuota()
        serveWaiters(now, effects)
        loanRequests.removeExpired(now)
        for (loan in quota.borrowedLoans.toList()) maintainLoan(loan, now, effects)
        if (waiters.isEmpty()) {
            borrowAhead(now, effects)
            rebalance(now, effects)
        }
    }

    /**
     * Borrows from an instance whose bucket is nearly full, because a full bucket loses its refill.
     *
     * This helps when the load balancer sends no requests of a low-rate customer to some instances for many seconds,
     * while others need more than their share.
     */
    private fun rebalance(
        now: Long,
        effects: Effects,
    ) {
        val bucket = quota.bucket
        if (context.stopping || bucket.freeCapacityMicros * QUARTERS < bucket.capacityMicros * MIN_FREE_QUARTERS) return
        val fullSpareTokens = quota.lendableCapacityMicros / MICROS_PER_TOKEN
        val lender =
            loanRequests
                .peersWithoutPendingRequest(now)
                .filter { loanRequests.mayRequestFrom(it, now) }
                .maxByOrNull(loanRequests::spareHintOrZero) ?: return
        val spareTokens = loanRequests.spareHintOrZero(lender)
        if (spareTokens * QUARTERS < fullSpareTokens * MIN_SPARE_QUARTERS) return
        val tokens = minOf(spareTokens, bucket.freeCapacityMicros / MICROS_PER_TOKEN) / QUARTERS
        if (tokens > 0) sendLoanRequest(lender, tokens, now, effects)
    }

    /** Refuses the waiting requests and returns all loans that no reservation needs. */
    fun returnAllLoans(effects: Effects) {
        updateQuota()
        while (waiters.isNotEmpty()) {
            val waiter = waiters.removeFirst()
            effects.results += waiter to refused(MILLIS_PER_SECOND, "instance is shutting down", "stopped")
        }
        for (loan in quota.borrowedLoans.toList()) returnLoan(loan, effects)
    }

    /** Answers a loan request with a grant or a refusal. */
    fun onRequest(
        from: InstanceName,
        message: LoanRequest,
        effects: Effects,
    ) {
        val now = updateQuota()
        lastLoanRequestMillis = now
        val demandRate = demand.tokensPerSecond(now)
        val tokens = lendable(message, demandRate, now)
        val refill = settings.borrowPolicy.lendableRefillMicrosPerMilli(quota, demandRate, tokens)
        val minLoanDivisor = if (message.neededTokens > 0) MIN_NEEDED_LOAN_DIVISOR else MIN_LOAN_DIVISOR
        val worthwhile = tokens * minLoanDivisor >= message.tokens
        val loanId = context.nextId()
        val loan = if (worthwhile) quota.lend(loanId, from.value, tokens, refill, now) else null
        if (loan == null) {
            metrics.loans.labelValues("lender", "refused").inc()
            effects.messages += from to LoanRefusal(message.request)
            return
        }
        context.registerLoan(loanId, this)
        metrics.loans.labelValues("lender", "granted").inc()
        val perSecond = refill / MICROS_PER_MILLI_IN_TOKEN_PER_SECOND.toDouble()
        effects.messages += from to LoanGrant(message.request, loanId, id, tokens, tokens, perSecond)
    }

    /**
     * Returns the tokens to lend for [message].
     *
     * If requests are waiting at both instances, only the one whose request has waited longer receives tokens.
     * Otherwise both would hold tokens that the other needs, and neither request would be served.
     */
    private fun lendable(
        message: LoanRequest,
        demandRate: Double,
        now: Long,
    ): Long {
        if (priorLoansPossible) return 0
        return when {
            waiters.isEmpty() ->
                settings.borrowPolicy.lendableTokens(quota, demandRate, message.tokens, message.neededTokens)
            waitedMillis(now) < message.waitedMillis ->
                settings.borrowPolicy.lendableTokens(quota, 0.0, message.neededTokens)
            else -> 0
        }
    }

    /** Adds a granted loan, or returns it if it arrived too late or this instance is stopping. */
    fun onGrant(
        from: InstanceName,
        message: LoanGrant,
        effects: Effects,
    ) {
        val now = updateQuota()
        val pendingRequest = loanRequests.complete(message.request, from)
        if (pendingRequest == null) {
            metrics.loans.labelValues("borrower", "unknown").inc()
            return
        }
        val refill = (message.refillTokensPerSecond * MICROS_PER_MILLI_IN_TOKEN_PER_SECOND).roundToLong()
        val applied =
            !context.stopping &&
                quota.borrow(
                    message.loan,
                    from.value,
                    message.capacityTokens,
                    message.tokens,
                    refill,
                    pendingRequest.sentMillis,
                    now,
                )
        if (applied) {
            metrics.loans.labelValues("borrower", "taken").inc()
            loanRequests.recordGrant(pendingRequest, message.tokens, now)
        } else {
            // None of the tokens were used, so all are returned. The lender ignores the return if its loan has expired.
            metrics.loans.labelValues("borrower", "late").inc()
            effects.messages += from to LoanReturn(message.loan, message.tokens)
        }
        serveWaiters(now, effects)
    }

    /** Records that [from] refused [request], and asks other peers if requests are waiting. */
    fun onRefusal(
        request: Long,
        from: InstanceName,
        effects: Effects,
    ) {
        val now = updateQuota()
        if (loanRequests.complete(request, from) == null) return
        loanRequests.backOff(from, now)
        if (waiters.isNotEmpty()) serveWaiters(now, effects)
    }

    /** Ends a lent loan that [from] returned early. */
    fun onReturn(
        from: InstanceName,
        message: LoanReturn,
        effects: Effects,
    ) {
        val now = updateQuota()
        if (!quota.reclaim(message.loan, from.value, message.tokens)) return
        metrics.loans.labelValues("lender", "returned").inc()
        serveWaiters(now, effects)
    }

    /** Removes the loan [request] that could not be sent to [to]. */
    fun onRequestNotSent(
        request: Long,
        to: InstanceName,
    ) {
        loanRequests.discard(request)
        loanRequests.backOff(to, context.clock.nowMillis())
    }

    /** Reverts a loan whose grant could not be sent, so that the borrower never received it. */
    fun onGrantNotSent(
        to: InstanceName,
        grant: LoanGrant,
    ) {
        updateQuota()
        quota.reclaim(grant.loan, to.value, grant.tokens)
    }

    /** Records the spare tokens that [from] advertised, or null if it advertised none. */
    fun setHint(
        from: InstanceName,
        tokens: Long?,
    ) = loanRequests.setHint(from, tokens)

    /** Returns the tokens that could be lent, and when a peer last requested a loan. */
    fun spareTokens(): SpareTokens {
        val now = updateQuota()
        val demandRate = demand.tokensPerSecond(now)
        val tokens =
            if (priorLoansPossible) 0 else settings.borrowPolicy.lendableTokens(quota, demandRate, Long.MAX_VALUE)
        return SpareTokens(id, tokens, lastLoanRequestMillis)
    }

    /** Returns whether the base share and the loans lent from it fit within the rate divided by [divisor]. */
    fun hasShrunkTo(divisor: Int): Boolean {
        updateQuota()
        val current = customer
        // An earlier process of the same name may have lent from a larger share, and those loans may not have expired.
        return !priorLoansPossible &&
            quota.fitsWithin(
                (current?.burstTokens ?: 0) * MICROS_PER_TOKEN / divisor,
                (current?.tokensPerSecond ?: 0) * MICROS_PER_MILLI_IN_TOKEN_PER_SECOND / divisor,
            )
    }

    fun hasLent(loan: Long): Boolean = quota.hasLent(loan)

    fun hasPendingRequest(request: Long): Boolean = loanRequests.hasPendingRequest(request)

    /** Returns whether the bundle no longer contains the customer and no reservations, requests or loans remain. */
    fun isRemovable(): Boolean {
        updateQuota()
        val bucket = quota.bucket
        val idle = bucket.outstandingMicros + bucket.orphanedMicros == 0L && waiters.isEmpty()
        return customer == null && idle && quota.lentLoans.isEmpty() && quota.borrowedLoans.isEmpty()
    }

    /**
     * Updates the quota to the current time, base share, customer limits and age of the proof of contact.
     *
     * Returns the current time in milliseconds.
     */
    private fun updateQuota(): Long {
        val age = context.proofAgeMillis()
        val now = context.clock.nowMillis()
        val base = context.share()?.takeIf { age <= settings.authorityMillis && !context.stopping }
        val newLimit = context.findCustomer(id)
        if (base == null && share != null) {
            // The base share adds no refill after its validity ended, even if this is detected late.
            val lateMillis = (age - settings.authorityMillis).coerceIn(0, MAX_LATE_MILLIS)
            countExpired(quota.advance(now - lateMillis))
            applyShare(null, newLimit)
        }
        countExpired(quota.advance(now))
        val priorLoansStillPossible =
            priorLoansPossible && now - context.startMillis < settings.loanTerms.lenderTermMillis
        if (base != share || newLimit != customer || priorLoansStillPossible != priorLoansPossible) {
            priorLoansPossible = priorLoansStillPossible
            // In a skipped epoch the share may have belonged to other instances.
            if (base != null && lastEpoch != Long.MIN_VALUE && base.epoch > lastEpoch + 1) applyShare(null, newLimit)
            applyShare(base, newLimit)
        }
        return now
    }

    private fun applyShare(
        base: BaseShare?,
        newLimit: Customer?,
    ) {
        share = base
        customer = newLimit
        if (base == null || newLimit == null) {
            quota.setBaseShare(0, 0)
            return
        }
        lastEpoch = base.epoch
        if (mayStartFull && base.startsFull) priorLoansPossible = false
        // Loans of an earlier process of the same name may not have expired, so use only the part that is never lent.
        val percent = if (priorLoansPossible) PERCENT - settings.loanTerms.lendablePercent else PERCENT
        quota.setBaseShare(
            newLimit.burstTokens * MICROS_PER_TOKEN / base.divisor / PERCENT * percent,
            newLimit.tokensPerSecond * MICROS_PER_MILLI_IN_TOKEN_PER_SECOND / base.divisor / PERCENT * percent,
        )
        if (mayStartFull && base.startsFull) {
            quota.bucket.addTokens(newLimit.burstTokens * MICROS_PER_TOKEN / base.divisor)
        }
        mayStartFull = false
    }

    private fun countExpired(expired: LocalQuota.ExpiredLoans) {
        if (expired.lent > 0) metrics.loans.labelValues("lender", "expired").inc(expired.lent.toLong())
        if (expired.borrowed > 0) metrics.loans.labelValues("borrower", "expired").inc(expired.borrowed.toLong())
    }

    /**
     * Reserves tokens for waiting requests in order of arrival, refuses those whose deadline has passed, and requests
     * loans for the remaining ones.
     */
    private fun serveWaiters(
        now: Long,
        effects: Effects,
    ) {
        while (waiters.isNotEmpty()) {
            val head = waiters.first()
            val result =
                when {
                    quota.bucket.reserve(head.tokens * MICROS_PER_TOKEN) -> admitted(head.tokens)
                    now >= head.deadlineMillis -> outOfTokensRefusal(head.tokens)
                    else -> break
                }
            waiters.removeFirst()
            effects.results += head to result
        }
        if (waiters.isEmpty()) {
            borrowAhead(now, effects)
            return
        }
        requestLoans(now, waiters.sumOf { it.tokens } + lookAheadTokens(now), effects)
        if (!queueCheckPending) {
            queueCheckPending = true
            effects.queueCheckMillis = (waiters.first().deadlineMillis - now).coerceIn(1, settings.queueCheckMillis)
        }
    }

    /** Returns the tokens to hold in advance: the expected demand that exceeds the refill, limited by the burst. */
    private fun lookAheadTokens(now: Long): Long {
        val refill = quota.bucket.refillMicrosPerMilli / MICROS_PER_MILLI_IN_TOKEN_PER_SECOND.toDouble()
        val excess = maxOf(0.0, demand.tokensPerSecond(now) - refill)
        return minOf(settings.borrowPolicy.targetTokens(excess), (customer?.burstTokens ?: 0) / MAX_LOOK_AHEAD_DIVISOR)
    }

    /** Borrows ahead of demand once less than half of the look-ahead tokens are available. */
    private fun borrowAhead(
        now: Long,
        effects: Effects,
    ) {
        if (now < nextLookAheadMillis) return
        val target = lookAheadTokens(now)
        if (quota.bucket.availableMicros / MICROS_PER_TOKEN >= target / 2) return
        nextLookAheadMillis = now + settings.lookAheadIntervalMillis
        requestLoans(now, target, effects)
    }

    /** Requests loans for the part of [requiredTokens] that is neither available nor already requested. */
    private fun requestLoans(
        now: Long,
        requiredTokens: Long,
        effects: Effects,
    ) {
        if (context.stopping) return
        val shortfall =
            minOf(requiredTokens, customer?.burstTokens ?: 0) -
                Math.floorDiv(quota.bucket.availableMicros, MICROS_PER_TOKEN) - loanRequests.pendingTokens(now)
        if (shortfall <= 0) return
        val candidates = loanRequests.peersWithoutPendingRequest(now)
        val parts =
            if (waiters.isNotEmpty() &&
                waitedMillis(now) >= settings.requestFromAllAfterMillis &&
                now >= nextRequestFromAllMillis
            ) {
                // Requests split by the hints did not suffice: the spare tokens are spread over many peers, or the
                // hints are outdated. Request the whole shortfall from every peer. Surplus loans are returned.
                nextRequestFromAllMillis = now + settings.loanRequestTimeoutMillis
                candidates.map { it to shortfall }
            } else {
                settings.borrowPolicy.splitRequest(
                    shortfall,
                    candidates.filter { loanRequests.mayRequestFrom(it, now) },
                    loanRequests::spareHint,
                )
            }
        for ((to, tokens) in parts.take(settings.maxParallelLoanRequests)) sendLoanRequest(to, tokens, now, effects)
    }

    /** Returns how long the first waiting request has waited, or zero if none is waiting. */
    private fun waitedMillis(now: Long): Long = waiters.firstOrNull()?.let { now - it.sinceMillis } ?: 0

    private fun sendLoanRequest(
        lender: InstanceName,
        tokens: Long,
        now: Long,
        effects: Effects,
    ) {
        val requestId = context.nextId()
        loanRequests.recordSent(requestId, lender, tokens, now)
        context.registerRequest(requestId, this)
        metrics.loans.labelValues("borrower", "asked").inc()
        val needed = minOf(tokens, waiters.sumOf { it.tokens })
        effects.messages += lender to LoanRequest(requestId, id, tokens, needed, waitedMillis(now))
    }

    /** Returns [loan] if it is no longer useful or about to expire, or requests its renewal. */
    private fun maintainLoan(
        loan: BorrowerLoan,
        now: Long,
        effects: Effects,
    ) {
        val bucket = quota.bucket
        val demandRate = demand.tokensPerSecond(now)
        val refillWithout = bucket.refillMicrosPerMilli - loan.refillMicrosPerMilli
        val needsRefill =
            loan.refillMicrosPerMilli > 0 && demandRate * MICROS_PER_MILLI_IN_TOKEN_PER_SECOND > refillWithout
        val microsWithoutLoan =
            bucket.availableMicros.toDouble() * (1.0 - loan.capacityMicros.toDouble() / bucket.capacityMicros)
        val nearlyEmpty = bucket.availableMicros < loan.capacityMicros / MIN_LOAN_DIVISOR
        val surplus = microsWithoutLoan / MICROS_PER_TOKEN >= settings.borrowPolicy.targetTokens(demandRate)
        val useful = needsRefill || !(nearlyEmpty || surplus)
        // After a return the lender can use capacity and refill at once. After an expiry they stay unused until the
        // lender's longer term ends.
        val expiresSoon = loan.endMillis - now <= settings.returnBeforeEndMillis
        // Capacity that stays empty here is returned, because the bucket of the lender overflows without it.
        val freeTokens = (bucket.freeCapacityMicros - loan.capacityMicros) / MICROS_PER_TOKEN
        val excessCapacity = freeTokens > settings.borrowPolicy.targetTokens(demandRate)
        if ((expiresSoon || excessCapacity) && returnLoan(loan, effects, keepTokens = true)) return
        if (waiters.isEmpty() && !useful && returnLoan(loan, effects)) return
        val renewalDue = loan.endMillis - now <= settings.renewBeforeEndMillis
        if (renewalDue && needsRefill && renewedLoans.add(loan.loanId)) {
            metrics.loans.labelValues("borrower", "renewal").inc()
            sendLoanRequest(InstanceName(loan.lender), loan.capacityMicros / MICROS_PER_TOKEN, now, effects)
        }
        renewedLoans.retainAll { loanId -> quota.borrowedLoans.any { it.loanId == loanId } }
    }

    private fun returnLoan(
        loan: BorrowerLoan,
        effects: Effects,
        keepTokens: Boolean = false,
    ): Boolean {
        val tokens = quota.returnLoan(loan, keepTokens) ?: return false
        metrics.loans.labelValues("borrower", "returned").inc()
        effects.messages += InstanceName(loan.lender) to LoanReturn(loan.loanId, tokens)
        return true
    }

    private fun admitted(tokens: Long): ReserveResult {
        metrics.admitted.inc()
        return ReserveResult.Reserved(context.createReservation(this, tokens))
    }

    private fun refused(
        retryAfterMillis: Long,
        reason: String,
        label: String,
    ): ReserveResult {
        metrics.refused.labelValues(label).inc()
        return ReserveResult.Refused(retryAfterMillis, reason)
    }

    /** Refuses a request for lack of tokens, and estimates when enough will have been refilled for it. */
    private fun outOfTokensRefusal(tokens: Long): ReserveResult {
        val perSecond = maxOf(1, customer?.tokensPerSecond ?: 0).toDouble()
        val fairPerSecond = perSecond / (context.peerNames().size + 1)
        val ownPerSecond = quota.bucket.refillMicrosPerMilli / MICROS_PER_MILLI_IN_TOKEN_PER_SECOND.toDouble()
        val backlog = tokens + waiters.sumOf { it.tokens } - quota.bucket.availableMicros / MICROS_PER_TOKEN
        val retryAfterMillis = (maxOf(backlog, 1) * MILLIS_PER_SECOND / maxOf(ownPerSecond, fairPerSecond)).toLong()
        return refused(maxOf(retryAfterMillis, 1), "the customer's rate leaves no room", "rate")
    }

    private companion object {
        private const val MILLIS_PER_SECOND = 1_000L
        private const val PERCENT = 100

        /** Retry delay for requests that can't be admitted: one hour. */
        private const val MAX_RETRY_MILLIS = 3_600_000L

        /** Limits the age of a missing proof, so that times stay within range. */
        private const val MAX_LATE_MILLIS = 3_600_000L

        /**
         * A loan below the requested tokens divided by this number is not worth granting, and a loan is returned if
         * the available tokens are below its capacity divided by this number.
         */
        private const val MIN_LOAN_DIVISOR = 16

        /**
         * Replaces [MIN_LOAN_DIVISOR] for the grant if a request is waiting. Smaller loans are worthwhile then, because
         * the request may lack only a few tokens and many instances may each have a few.
         */
        private const val MIN_NEEDED_LOAN_DIVISOR = 128

        /**
         * Rebalancing starts if at least half of the capacity is free. It borrows up to a quarter of the spare tokens
         * of a peer that advertises at least three quarters of what this instance could lend with a full bucket.
         */
        private const val QUARTERS = 4
        private const val MIN_FREE_QUARTERS = 2
        private const val MIN_SPARE_QUARTERS = 3

        /** Limits look-ahead to a quarter of the burst, so that two busy instances do not drain the others. */
        private const val MAX_LOOK_AHEAD_DIVISOR = 4
    }
}
