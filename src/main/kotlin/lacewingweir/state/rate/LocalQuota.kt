package lacewingweir.state.rate

/**
 * The part of one customer's rate that one instance may use: its base share minus lent plus borrowed capacity.
 *
 * An instance lends only from its base share. Borrowed capacity is never lent again, because the first loan would
 * expire before the second.
 */
public class LocalQuota(
    startMillis: Long,
    private val terms: LoanTerms = LoanTerms(),
) {
    private val lent = LinkedHashMap<Long, LenderLoan>()
    private val borrowed = ArrayList<BorrowerLoan>()
    private var baseCapacityMicros = 0L
    private var baseRefillMicrosPerMilli = 0L
    private var lentCapacityMicros = 0L
    private var lentRefillMicrosPerMilli = 0L
    private var borrowedCapacityMicros = 0L
    private var borrowedRefillMicrosPerMilli = 0L

    /** The tokens of this quota. Callers only reserve, consume, release, overdraw and add tokens and read amounts. */
    public val bucket: TokenBucket = TokenBucket(startMillis)

    /** Borrowed loans that have neither expired nor been returned. */
    public val borrowedLoans: List<BorrowerLoan> get() = borrowed

    /** Lent loans that have neither expired nor been returned. */
    public val lentLoans: Collection<LenderLoan> get() = lent.values

    /** Returns whether [loanId] was lent and has neither expired nor been returned. */
    public fun hasLent(loanId: Long): Boolean = loanId in lent

    /** Refill of the base share that is not lent, in micro-tokens per millisecond. */
    public val ownRefillMicrosPerMilli: Long get() = maxOf(0, baseRefillMicrosPerMilli - lentRefillMicrosPerMilli)

    /** Refill of the base share that can still be lent, in micro-tokens per millisecond. */
    public val lendableRefillMicrosPerMilli: Long
        get() = maxOf(0, lendablePart(baseRefillMicrosPerMilli) - lentRefillMicrosPerMilli)

    /** Capacity of the base share that can still be lent, in micro-tokens. */
    public val lendableCapacityMicros: Long get() = maxOf(0, lendablePart(baseCapacityMicros) - lentCapacityMicros)

    private val ownCapacityMicros: Long get() = maxOf(0, baseCapacityMicros - lentCapacityMicros)

    /**
     * Advances the quota to [nowMillis] and returns how many loans expired.
     *
     * Loans expire in the order of their end times. Refill is added up to each of these times, so that an expired loan
     * adds no refill after its end even if this function is called late.
     */
    public fun advance(nowMillis: Long): ExpiredLoans {
        var expiredLent = 0
        var expiredBorrowed = 0
        // All lent loans have the same term, so the oldest one expires first. Borrowed loans are few enough to search.
        while (true) {
            val nextLent = lent.values.firstOrNull()?.takeIf { it.endMillis <= nowMillis }
            val nextBorrowed = borrowed.minByOrNull { it.endMillis }?.takeIf { it.endMillis <= nowMillis }
            if (nextBorrowed != null && nextBorrowed.endMillis <= (nextLent?.endMillis ?: Long.MAX_VALUE)) {
                bucket.advance(nextBorrowed.endMillis)
                removeBorrowed(nextBorrowed)
                expiredBorrowed++
            } else if (nextLent != null) {
                bucket.advance(nextLent.endMillis)
                removeLent(nextLent)
                expiredLent++
            } else {
                break
            }
            resize()
        }
        bucket.advance(nowMillis)
        return if (expiredLent + expiredBorrowed == 0) ExpiredLoans.NONE else ExpiredLoans(expiredLent, expiredBorrowed)
    }

    /**
     * Replaces the base share. Tokens above the new capacity are lost, and a larger share adds none.
     *
     * @throws IllegalArgumentException if an argument is negative.
     */
    public fun setBaseShare(
        capacityMicros: Long,
        refillMicrosPerMilli: Long,
    ) {
        require(capacityMicros >= 0 && refillMicrosPerMilli >= 0) { "base share must not be negative" }
        baseCapacityMicros = capacityMicros
        baseRefillMicrosPerMilli = refillMicrosPerMilli
        resize()
    }

    /** Returns whether the base share and the loans lent from it fit within the given capacity and refill. */
    public fun fitsWithin(
        capacityMicros: Long,
        refillMicrosPerMilli: Long,
    ): Boolean =
        baseCapacityMicros <= capacityMicros &&
            lentCapacityMicros <= lendablePart(capacityMicros) &&
            baseRefillMicrosPerMilli <= refillMicrosPerMilli &&
            lentRefillMicrosPerMilli <= lendablePart(refillMicrosPerMilli)

    /**
     * Lends [tokens] with the same amount of capacity, and [refillMicrosPerMilli], to [borrower].
     *
     * The caller sends the grant afterwards. Returns null and changes nothing if [tokens] is not positive or the base
     * share can't lend these amounts.
     *
     * @throws IllegalStateException if [loanId] is already lent.
     */
    public fun lend(
        loanId: Long,
        borrower: String,
        tokens: Long,
        refillMicrosPerMilli: Long,
        nowMillis: Long,
    ): LenderLoan? {
        val tokensMicros = tokens * MICROS_PER_TOKEN
        val sufficient = tokensMicros <= bucket.availableMicros && tokensMicros <= lendableCapacityMicros
        if (tokens <= 0 || !sufficient || refillMicrosPerMilli !in 0..lendableRefillMicrosPerMilli) return null
        check(loanId !in lent) { "loan id is already in use" }
        val loan =
            LenderLoan(
                loanId,
                borrower,
                tokensMicros,
                tokensMicros,
                refillMicrosPerMilli,
                nowMillis + terms.lenderTermMillis,
            )
        bucket.removeTokens(tokensMicros)
        lent[loanId] = loan
        lentCapacityMicros += tokensMicros
        lentRefillMicrosPerMilli += refillMicrosPerMilli
        resize()
        return loan
    }

    /**
     * Ends a lent loan early and adds the [tokens] that its [borrower] did not use.
     *
     * Returns false if this borrower has no such loan, for example because it expired or was already returned, or if
     * [tokens] is negative.
     */
    public fun reclaim(
        loanId: Long,
        borrower: String,
        tokens: Long,
    ): Boolean {
        val loan = lent[loanId]?.takeIf { it.borrower == borrower && tokens >= 0 } ?: return false
        removeLent(loan)
        resize()
        // Lent refill can leave the borrower with more tokens than the loan included, so the amount is capped.
        val tokensMicros =
            if (tokens >= loan.capacityMicros / MICROS_PER_TOKEN) {
                loan.capacityMicros
            } else {
                tokens * MICROS_PER_TOKEN
            }
        bucket.addTokens(tokensMicros)
        return true
    }

    /**
     * Adds a loan that was requested at [requestMillis].
     *
     * Returns false and changes nothing if the loan has already expired, was added before, or has invalid amounts.
     */
    public fun borrow(
        loanId: Long,
        lender: String,
        capacityTokens: Long,
        tokens: Long,
        refillMicrosPerMilli: Long,
        requestMillis: Long,
        nowMillis: Long,
    ): Boolean {
        val endMillis = requestMillis + terms.borrowerTermMillis
        val valid = tokens in 0..capacityTokens && capacityTokens <= MAX_TOKENS && refillMicrosPerMilli >= 0
        if (!valid || nowMillis >= endMillis) return false
        if (borrowed.any { it.loanId == loanId && it.lender == lender }) return false
        val capacityMicros = capacityTokens * MICROS_PER_TOKEN
        val tokensMicros = tokens * MICROS_PER_TOKEN
        borrowed += BorrowerLoan(loanId, lender, capacityMicros, tokensMicros, refillMicrosPerMilli, endMillis)
        borrowedCapacityMicros += capacityMicros
        borrowedRefillMicrosPerMilli += refillMicrosPerMilli
        resize()
        check(bucket.addTokens(tokensMicros) == tokensMicros) { "tokens of a loan exceed the capacity that it added" }
        return true
    }

    /**
     * Ends a borrowed loan early and returns the number of whole tokens to send back with it.
     *
     * If [keepTokens] is true, these are only the tokens that exceed the remaining capacity; otherwise they are at
     * least the loan's proportional part of the available tokens. Returns null and changes nothing if the loan is not
     * borrowed or while reservations need its capacity.
     */
    public fun returnLoan(
        loan: BorrowerLoan,
        keepTokens: Boolean = false,
    ): Long? {
        val remainingCapacity = bucket.capacityMicros - loan.capacityMicros
        if (loan !in borrowed || bucket.outstandingMicros > remainingCapacity) return null
        val available = maxOf(bucket.availableMicros, 0)
        // The loan's proportional part, or more if the rest would exceed the remaining capacity.
        val part = if (keepTokens) 0 else (available.toDouble() * loan.capacityMicros / bucket.capacityMicros).toLong()
        val excess = bucket.availableMicros + bucket.outstandingMicros - remainingCapacity
        val tokens = maxOf(part, excess).coerceIn(0, minOf(available, loan.capacityMicros)) / MICROS_PER_TOKEN
        bucket.removeTokens(tokens * MICROS_PER_TOKEN)
        removeBorrowed(loan)
        resize()
        return tokens
    }

    private fun lendablePart(amount: Long): Long = amount / PERCENT * terms.lendablePercent

    private fun removeLent(loan: LenderLoan) {
        lent.remove(loan.loanId)
        lentCapacityMicros -= loan.capacityMicros
        lentRefillMicrosPerMilli -= loan.refillMicrosPerMilli
    }

    private fun removeBorrowed(loan: BorrowerLoan) {
        borrowed.remove(loan)
        borrowedCapacityMicros -= loan.capacityMicros
        borrowedRefillMicrosPerMilli -= loan.refillMicrosPerMilli
    }

    private fun resize() {
        bucket.resize(
            ownCapacityMicros + borrowedCapacityMicros,
            ownRefillMicrosPerMilli + borrowedRefillMicrosPerMilli,
        )
    }

    private companion object {
        /** The largest capacity of a loan. Keeps sums of micro-tokens far from overflow. */
        private const val MAX_TOKENS = 1_000_000_000_000
        private const val PERCENT = 100
    }

    /** The numbers of lent and borrowed loans that expired. */
    public data class ExpiredLoans(
        val lent: Int,
        val borrowed: Int,
    ) {
        /** Holds [NONE]. */
        public companion object {
            /** The result if no loan expired. */
            public val NONE: ExpiredLoans = ExpiredLoans(0, 0)
        }
    }
}
