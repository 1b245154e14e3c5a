package lacewingweir.coordination.rate

import lacewingweir.state.rate.BorrowPolicy
import lacewingweir.state.rate.LoanTerms

/**
 * Limits and periods of a [RateAgent].
 *
 * All instances of a fleet must use the same [authorityMillis] and [loanTerms]. An instance uses its base share only
 * while its last proof of contact is at most [authorityMillis] old.
 *
 * A request waits for tokens for at most [maxWaitMillis]. After [requestFromAllAfterMillis] the instance requests the
 * whole shortfall from all peers. Waiting requests are checked every [queueCheckMillis] and loans every [sweepMillis].
 * A loan that is still needed is renewed in the last [renewBeforeEndMillis] of its term, and loans are returned, if
 * possible, in the last [returnBeforeEndMillis]. A peer that refused receives the next request after
 * [minBackoffMillis], doubled for each further refusal up to [maxBackoffMillis].
 */
public data class RateSettings(
    val maxWaitMillis: Long = 250,
    val requestFromAllAfterMillis: Long = 100,
    val authorityMillis: Long = 5_000,
    val loanTerms: LoanTerms = LoanTerms(),
    val borrowPolicy: BorrowPolicy = BorrowPolicy(),
    val sweepMillis: Long = 200,
    val renewBeforeEndMillis: Long = 1_000,
    val returnBeforeEndMillis: Long = 500,
    val queueCheckMillis: Long = 10,
    val loanRequestTimeoutMillis: Long = 50,
    val lookAheadIntervalMillis: Long = 50,
    val minBackoffMillis: Long = 10,
    val maxBackoffMillis: Long = 500,
    val maxParallelLoanRequests: Int = 16,
    val maxWaitingRequests: Int = 1_024,
    val maxHintedCustomers: Int = 32,
)
