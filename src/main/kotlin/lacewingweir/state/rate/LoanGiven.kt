package lacewingweir.state.rate

/** A loan at its lender. [endMillis] is on the lender's clock. */
public data class LoanGiven(
    val loan: Long,
    val borrower: String,
    val capacityMicros: Long,
    val tokensMicros: Long,
    val refillMicrosPerMilli: Long,
    val endMillis: Long,
)
