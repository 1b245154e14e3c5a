package lacewingweir.state.rate

/**
 * Durations and limits that apply to every loan.
 *
 * The lender considers a loan expired later than the borrower does. The difference covers clocks that differ in rate by
 * [clockMarginPerMille] and a fixed [graceMillis], so that both never use the same tokens.
 *
 * A lender lends at most [lendablePercent] of its base share. A restarted instance has no record of the loans that it
 * granted before the restart, so it uses only the unlendable rest of its share until those loans have expired.
 */
public data class LoanTerms(
    val borrowerTermMillis: Long = 5_000,
    val clockMarginPerMille: Long = 10,
    val graceMillis: Long = 500,
    val lendablePercent: Int = 75,
) {
    /** The time after sending a grant during which the lender does not use the lent tokens, capacity and refill. */
    val lenderTermMillis: Long
        get() = borrowerTermMillis + borrowerTermMillis * clockMarginPerMille / PER_MILLE + graceMillis

    private companion object {
        private const val PER_MILLE = 1_000
    }
}
