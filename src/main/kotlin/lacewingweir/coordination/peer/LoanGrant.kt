package lacewingweir.coordination.peer

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import lacewingweir.state.id.CustomerId

/**
 * Grants a loan of capacity, tokens and refill, which the sender has already deducted from its own bucket.
 *
 * @property request id of the [LoanRequest]; the term of the loan starts when the borrower sent that request,
 * measured on the borrower's clock
 * @property loan id of the loan, unique per lender
 * @property tokens tokens available immediately, at most [capacityTokens]
 */
@Serializable
@SerialName("loanGrant")
public data class LoanGrant(
    val request: Long,
    val loan: Long,
    val customer: CustomerId,
    val capacityTokens: Long,
    val tokens: Long,
    val refillTokensPerSecond: Double,
) : PeerMessage
