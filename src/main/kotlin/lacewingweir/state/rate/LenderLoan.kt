package lacewingweir.state.rate

/**
 * A loan as recorded by its lender.
 *
 * [endMillis] is on the lender's monotonic clock and is later than the end that the borrower observes.
 */
public data class LenderLoan(
    val loanId: Long,
    val borrower: String,
    val capacityMicros: Long,
    val tokensMicros: Long,
    val refillMicrosPerMilli: Long,
    val endMillis: Long,
)
