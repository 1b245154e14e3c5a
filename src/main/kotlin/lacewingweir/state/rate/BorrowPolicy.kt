package lacewingweir.state.rate

import kotlin.math.ceil

/**
 * Determines how many tokens an instance borrows, lends and retains.
 *
 * A borrower requests its current shortfall plus the demand of the next [lookAheadMillis] that its own refill does not
 * cover. A lender retains the tokens for [reserveMillis] of its own demand, except from requests that are already
 * waiting at the borrower. When lending refill, it retains [refillMarginPercent] of its own demand. The refill lent
 * with a loan produces in [refillPeriodMillis] at most as many tokens as the loan contains. A [refillPeriodMillis] of
 * zero disables lending of refill.
 */
public data class BorrowPolicy(
    val lookAheadMillis: Long = 500,
    val reserveMillis: Long = 250,
    val refillMarginPercent: Int = 125,
    val refillPeriodMillis: Long = 5_000,
) {
    /** Returns the tokens to hold for the next [lookAheadMillis] at [demand] tokens per second, rounded up. */
    public fun targetTokens(demand: Double): Long = ceil(demand * lookAheadMillis / MILLIS_PER_SECOND).toLong()

    /**
     * Returns the tokens that [quota] may lend when [requestedTokens] are requested, [neededTokens] of them for
     * requests already waiting at the borrower. [demand] is the lender's own demand in tokens per second.
     *
     * The reserve does not apply to [neededTokens], because waiting requests take precedence over expected ones.
     * This matters when the remaining tokens of a customer with a low rate are spread over several instances.
     */
    public fun lendableTokens(
        quota: LocalQuota,
        demand: Double,
        requestedTokens: Long,
        neededTokens: Long = 0,
    ): Long {
        val reserveTokens = ceil(demand * reserveMillis / MILLIS_PER_SECOND).toLong()
        val available = minOf(quota.bucket.availableMicros, quota.lendableCapacityMicros) / MICROS_PER_TOKEN
        val availableBeyondReserve = minOf(available, quota.bucket.availableMicros / MICROS_PER_TOKEN - reserveTokens)
        return maxOf(minOf(requestedTokens, availableBeyondReserve), minOf(neededTokens, available), 0)
    }

    /**
     * Returns the refill to lend along with [tokens], in micro-tokens per millisecond: the refill that exceeds the
     * lender's own [demand] and its margin, limited to [tokens] per [refillPeriodMillis].
     */
    public fun lendableRefillMicrosPerMilli(
        quota: LocalQuota,
        demand: Double,
        tokens: Long,
    ): Long {
        if (refillPeriodMillis <= 0) return 0
        val retainedRefill = (demand * refillMarginPercent / PERCENT * MICROS_PER_MILLI_IN_TOKEN_PER_SECOND).toLong()
        val spareRefill = maxOf(0, quota.ownRefillMicrosPerMilli - retainedRefill)
        return minOf(spareRefill, quota.lendableRefillMicrosPerMilli, tokens * MICROS_PER_TOKEN / refillPeriodMillis)
    }

    /**
     * Splits a request for [tokens] among [lenders] and returns the tokens to request from each of them.
     *
     * Lenders with a positive [spareHint], the spare tokens that they advertised, come first in descending order and
     * are asked for at most that value. The remaining lenders are each asked for an equal part of the rest.
     */
    public fun <T> splitRequest(
        tokens: Long,
        lenders: List<T>,
        spareHint: (T) -> Long?,
    ): List<Pair<T, Long>> {
        val parts = ArrayList<Pair<T, Long>>()
        var remaining = tokens
        for (lender in lenders.filter { (spareHint(it) ?: 0) > 0 }.sortedByDescending { spareHint(it) }) {
            if (remaining <= 0) return parts
            val part = minOf(remaining, spareHint(lender) ?: 0)
            parts += lender to part
            remaining -= part
        }
        val lendersWithoutHint = lenders.filter { (spareHint(it) ?: 0) <= 0 }
        if (remaining > 0 && lendersWithoutHint.isNotEmpty()) {
            val part = (remaining + lendersWithoutHint.size - 1) / lendersWithoutHint.size
            lendersWithoutHint.mapTo(parts) { it to part }
        }
        return parts
    }

    private companion object {
        private const val MILLIS_PER_SECOND = 1_000.0
        private const val PERCENT = 100.0
    }
}
