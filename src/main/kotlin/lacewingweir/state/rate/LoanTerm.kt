package lacewingweir.state.rate

/**
 * Terms of loans. [lenderMillis] outlasts [borrowerMillis] by the clock margin and a fixed reserve.
 *
 * A lender lends at most [lendablePercent] of its base share. A restarted instance doesn't know what it lent before,
 * so until those loans have ended it uses only the rest.
 */
public data class LoanTerm(
    val borrowerMillis: Long = 5_000,
    val clockMarginPerMille: Long = 10,
    val graceMillis: Long = 500,
    val lendablePercent: Int = 75,
) {
    /** Time after sending a grant for which the lender goes without what it lent. */
    val lenderMillis: Long
        get() = borrowerMillis + borrowerMillis * clockMarginPerMille / PER_MILLE + graceMillis

    private companion object {
        private const val PER_MILLE = 1_000
    }
}
