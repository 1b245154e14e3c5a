package lacewingweir.coordination.rate

import lacewingweir.state.id.InstanceName

/**
 * Tracks the loan requests that an instance has sent for one customer, and the spare tokens of its peers.
 *
 * Not thread-safe; guarded by the monitor of its [CustomerRateLimiter].
 */
internal class LoanRequestTracker(
    private val context: RateLimiterContext,
) {
    /** A loan request that has not been answered. */
    class PendingLoanRequest(
        val lender: InstanceName,
        val tokens: Long,
        val sentMillis: Long,
    )

    private class PeerState {
        var spareHint: Long? = null
        var nextRequestMillis: Long = Long.MIN_VALUE
        var backoffMillis: Long = 0
    }

    private val settings = context.settings
    private val pendingRequests = LinkedHashMap<Long, PendingLoanRequest>()
    private val peers = HashMap<InstanceName, PeerState>()

    /** Records that [request] for [tokens] is sent to [lender]. */
    fun recordSent(
        request: Long,
        lender: InstanceName,
        tokens: Long,
        now: Long,
    ) {
        pendingRequests[request] = PendingLoanRequest(lender, tokens, now)
    }

    fun hasPendingRequest(request: Long): Boolean = request in pendingRequests

    /** Removes and returns the loan [request] if it was sent to [from]. Otherwise returns null and changes nothing. */
    fun complete(
        request: Long,
        from: InstanceName,
    ): PendingLoanRequest? =
        pendingRequests[request]?.takeIf { it.lender == from }?.also { pendingRequests.remove(request) }

    /** Removes a [request] that could not be sent. */
    fun discard(request: Long) {
        pendingRequests.remove(request)
    }

    /** Removes loan requests that are so old that a loan granted for them would have expired. */
    fun removeExpired(now: Long) {
        pendingRequests.values.removeIf { now - it.sentMillis > settings.loanTerms.lenderTermMillis }
    }

    /** Returns the tokens of the loan requests that have not timed out. */
    fun pendingTokens(now: Long): Long = notTimedOut(now).sumOf { it.tokens }

    /** Returns the connected peers that have no loan request pending, apart from requests that have timed out. */
    fun peersWithoutPendingRequest(now: Long): List<InstanceName> {
        val askedPeers = notTimedOut(now).mapTo(HashSet()) { it.lender }
        return context.peerNames().filter { it !in askedPeers }
    }

    private fun notTimedOut(now: Long): List<PendingLoanRequest> =
        pendingRequests.values.filter { now - it.sentMillis < settings.loanRequestTimeoutMillis }

    /** Returns whether the backoff of [peer] after a refusal has ended. */
    fun mayRequestFrom(
        peer: InstanceName,
        now: Long,
    ): Boolean = (peers[peer]?.nextRequestMillis ?: Long.MIN_VALUE) <= now

    /** Returns the tokens that [peer] could lend according to its last hint, or null if there is none. */
    fun spareHint(peer: InstanceName): Long? = peers[peer]?.spareHint

    /** Returns the last hint of [peer], or zero if there is none. */
    fun spareHintOrZero(peer: InstanceName): Long = spareHint(peer) ?: 0

    /** Records the spare tokens that [from] advertised, or null if it advertised none. */
    fun setHint(
        from: InstanceName,
        tokens: Long?,
    ) {
        if (tokens == null && from !in peers) return
        peerStateOf(from).spareHint = tokens
    }

    /** Records that [tokens] were granted for [pending]. A smaller loan than requested starts a short backoff. */
    fun recordGrant(
        pending: PendingLoanRequest,
        tokens: Long,
        now: Long,
    ) {
        val state = peerStateOf(pending.lender)
        state.backoffMillis = 0
        state.spareHint = state.spareHint?.let { maxOf(0, it - tokens) }
        if (tokens < pending.tokens) {
            state.spareHint = 0
            state.nextRequestMillis = now + settings.minBackoffMillis
        }
    }

    /** Starts an exponential backoff with jitter for a peer that refused a request or could not be reached. */
    fun backOff(
        from: InstanceName,
        now: Long,
    ) {
        val state = peerStateOf(from)
        state.spareHint = 0
        state.backoffMillis = (state.backoffMillis * 2).coerceIn(settings.minBackoffMillis, settings.maxBackoffMillis)
        state.nextRequestMillis = now + context.withJitter(state.backoffMillis)
    }

    private fun peerStateOf(peer: InstanceName) = peers.getOrPut(peer) { PeerState() }
}
