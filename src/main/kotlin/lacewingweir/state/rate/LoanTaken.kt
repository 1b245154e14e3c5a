package lacewingweir.state.rate

/** A loan at its borrower. [endMillis] is on the borrower's clock and counts from the send time of the request. */
public data class LoanTaken(
    val loan: Long,
    val lender: String,
    val capacityMicros: Long,
    val tokensMicros: Long,
    val refillMicrosPerMilli: Long,
    val endMillis: Long,
)
