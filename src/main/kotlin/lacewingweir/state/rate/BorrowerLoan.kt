package lacewingweir.state.rate

/**
 * A loan as recorded by its borrower.
 *
 * [endMillis] is on the borrower's monotonic clock. The term starts when the borrower sends the loan request.
 */
public data class BorrowerLoan(
    val loanId: Long,
    val lender: String,
    val capacityMicros: Long,
    val tokensMicros: Long,
    val refillMicrosPerMilli: Long,
    val endMillis: Long,
)
