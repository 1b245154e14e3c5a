package lacewingweir.state.rate

/**
 * What one instance holds of one customer's rate: its base share, less the loans given, plus the loans taken.
 *
 * A lender lends only out of its base share. Borrowed capacity is never lent on, because it ends before the second
 * loan would.
 */
public class RateAccount(
    startMillis: Long,
    private val term: LoanTerm = LoanTerm(),
) {
    private val given = LinkedHashMap<Long, LoanGiven>()
    private val taken = ArrayList<LoanTaken>()
    private var baseCapacityMicros = 0L
    private var baseRefillMicrosPerMilli = 0L
    private var lentCapacityMicros = 0L
    private var lentRefillMicrosPerMilli = 0L
    private var takenCapacityMicros = 0L
    private var takenRefillMicrosPerMilli = 0L

    /** Tokens of this account. Callers use it only for reservations and readings. */
    public val bucket: TokenBucket = TokenBucket(startMillis)

    /** Loans taken that have not ended. */
    public val loansTaken: List<LoanTaken> get() = taken

    /** Loans given that have not ended. */
    public val loansGiven: Collection<LoanGiven> get() = given.values

    /** Whether the loan was given and has not ended. */
    public fun hasGiven(loan: Long): Boolean = loan in given

    /** Refill of the base share that is not lent, in micro-tokens per millisecond. */
    public val ownRefillMicrosPerMilli: Long get() = maxOf(0, baseRefillMicrosPerMilli - lentRefillMicrosPerMilli)

    /** Refill of the base share that can still be lent. */
    public val lendableRefillMicrosPerMilli: Long
        get() = maxOf(0, lendable(baseRefillMicrosPerMilli) - lentRefillMicrosPerMilli)

    /** Capacity of the base share that can still be lent. */
    public val lendableCapacityMicros: Long get() = maxOf(0, lendable(baseCapacityMicros) - lentCapacityMicros)

    private val ownCapacityMicros: Long get() = maxOf(0, baseCapacityMicros - lentCapacityMicros)

    /** Moves the account to [nowMillis]: ends loans in the order of their ends, with the refill between. */
    public fun advance(nowMillis: Long): Expired {
        var expiredGiven = 0
        var expiredTaken = 0
        // The first loan given ends first, because all have the same term. Those taken are few.
        while (true) {
            val nextGiven = given.values.firstOrNull()?.takeIf { it.endMillis <= nowMillis }
            val nextTaken = taken.minByOrNull { it.endMillis }?.takeIf { it.endMillis <= nowMillis }
            if (nextTaken != null && nextTaken.endMillis <= (nextGiven?.endMillis ?: Long.MAX_VALUE)) {
                bucket.advance(nextTaken.endMillis)
                removeTaken(nextTaken)
                expiredTaken++
            } else if (nextGiven != null) {
                bucket.advance(nextGiven.endMillis)
                removeGiven(nextGiven)
                expiredGiven++
            } else {
                break
            }
            resize()
        }
        bucket.advance(nowMillis)
        return if (expiredGiven + expiredTaken == 0) Expired.NONE else Expired(expiredGiven, expiredTaken)
    }

    /** Replaces the base share. Tokens beyond the new capacity are lost, and a larger share adds none. */
    public fun setBase(
        capacityMicros: Long,
        refillMicrosPerMilli: Long,
    ) {
        require(capacityMicros >= 0 && refillMicrosPerMilli >= 0) { "negative base share" }
        baseCapacityMicros = capacityMicros
        baseRefillMicrosPerMilli = refillMicrosPerMilli
        resize()
    }

    /** Whether the base share and the loans given out of it fit into the given capacity and refill. */
    public fun fitsInto(
        capacityMicros: Long,
        refillMicrosPerMilli: Long,
    ): Boolean =
        baseCapacityMicros <= capacityMicros &&
            lentCapacityMicros <= lendable(capacityMicros) &&
            baseRefillMicrosPerMilli <= refillMicrosPerMilli &&
            lentRefillMicrosPerMilli <= lendable(refillMicrosPerMilli)

    /**
     * Lends [tokens] with as much capacity, and [refillMicrosPerMilli]. The caller sends the grant afterwards.
     * Returns null, with nothing changed, if the base share doesn't have them.
     */
    public fun lend(
        loan: Long,
        borrower: String,
        tokens: Long,
        refillMicrosPerMilli: Long,
        nowMillis: Long,
    ): LoanGiven? {
        val micros = tokens * MICROS_PER_TOKEN
        val enough = micros <= bucket.availableMicros && micros <= lendableCapacityMicros
        if (tokens <= 0 || !enough || refillMicrosPerMilli !in 0..lendableRefillMicrosPerMilli) return null
        check(loan !in given) { "loan number used twice" }
        val entry = LoanGiven(loan, borrower, micros, micros, refillMicrosPerMilli, nowMillis + term.lenderMillis)
        bucket.withdraw(micros)
        given[loan] = entry
        lentCapacityMicros += micros
        lentRefillMicrosPerMilli += refillMicrosPerMilli
        resize()
        return entry
    }

    /**
     * Ends a loan given, with the [tokens] that its [borrower] did not use. Returns false if there is no such loan, as
     * after its end or an earlier return.
     */
    public fun takeBack(
        loan: Long,
        borrower: String,
        tokens: Long,
    ): Boolean {
        val entry = given[loan]?.takeIf { it.borrower == borrower && tokens >= 0 } ?: return false
        removeGiven(entry)
        resize()
        // The borrower may hold more than it was lent, because lent refill filled the capacity again.
        val micros =
            if (tokens >=
                entry.capacityMicros / MICROS_PER_TOKEN
            ) {
                entry.capacityMicros
            } else {
                tokens * MICROS_PER_TOKEN
            }
        bucket.deposit(micros)
        return true
    }

    /**
     * Adds a loan that was asked for at [requestMillis]. Returns false, with nothing changed, if its term is over or
     * it was already applied.
     */
    public fun accept(
        loan: Long,
        lender: String,
        capacityTokens: Long,
        tokens: Long,
        refillMicrosPerMilli: Long,
        requestMillis: Long,
        nowMillis: Long,
    ): Boolean {
        val endMillis = requestMillis + term.borrowerMillis
        val sound = tokens in 0..capacityTokens && capacityTokens <= MAX_TOKENS && refillMicrosPerMilli >= 0
        if (!sound || nowMillis >= endMillis) return false
        if (taken.any { it.loan == loan && it.lender == lender }) return false
        val capacityMicros = capacityTokens * MICROS_PER_TOKEN
        val tokensMicros = tokens * MICROS_PER_TOKEN
        taken += LoanTaken(loan, lender, capacityMicros, tokensMicros, refillMicrosPerMilli, endMillis)
        takenCapacityMicros += capacityMicros
        takenRefillMicrosPerMilli += refillMicrosPerMilli
        resize()
        check(bucket.deposit(tokensMicros) == tokensMicros) { "loan does not fit" }
        return true
    }

    /**
     * Ends a loan taken before its term and returns the whole tokens to give back with it: those that the remaining
     * capacity can't hold if [keepTokens] is true, and otherwise at least the loan's part of what is available.
     * Returns null, with nothing changed, while reservations need its capacity.
     */
    public fun giveUp(
        entry: LoanTaken,
        keepTokens: Boolean = false,
    ): Long? {
        val remaining = bucket.capacityMicros - entry.capacityMicros
        if (entry !in taken || bucket.outstandingMicros > remaining) return null
        val available = maxOf(bucket.availableMicros, 0)
        // The loan's part of the tokens, or more if the rest would not fit into the remaining capacity.
        val part = if (keepTokens) 0 else (available.toDouble() * entry.capacityMicros / bucket.capacityMicros).toLong()
        val mustGo = bucket.availableMicros + bucket.outstandingMicros - remaining
        val tokens = maxOf(part, mustGo).coerceIn(0, minOf(available, entry.capacityMicros)) / MICROS_PER_TOKEN
        bucket.withdraw(tokens * MICROS_PER_TOKEN)
        removeTaken(entry)
        resize()
        return tokens
    }

    private fun lendable(amount: Long): Long = amount / PERCENT * term.lendablePercent

    private fun removeGiven(entry: LoanGiven) {
        given.remove(entry.loan)
        lentCapacityMicros -= entry.capacityMicros
        lentRefillMicrosPerMilli -= entry.refillMicrosPerMilli
    }

    private fun removeTaken(entry: LoanTaken) {
        taken.remove(entry)
        takenCapacityMicros -= entry.capacityMicros
        takenRefillMicrosPerMilli -= entry.refillMicrosPerMilli
    }

    private fun resize() {
        bucket.resize(
            ownCapacityMicros + takenCapacityMicros,
            ownRefillMicrosPerMilli + takenRefillMicrosPerMilli,
        )
    }

    private companion object {
        /** Keeps sums of micro-tokens far from overflow. */
        private const val MAX_TOKENS = 1_000_000_000_000
        private const val PERCENT = 100
    }

    /** Numbers of loans that ended by time. */
    public data class Expired(
        val given: Int,
        val taken: Int,
    ) {
        /** No loan ended. */
        public companion object {
            /** No loan ended. */
            public val NONE: Expired = Expired(0, 0)
        }
    }
}
