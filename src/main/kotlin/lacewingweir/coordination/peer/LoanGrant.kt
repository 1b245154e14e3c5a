package lacewingweir.coordination.peer

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import lacewingweir.state.id.CustomerId

/**
 * Lends capacity, tokens and refill that the sender has already taken from its own bucket.
 *
 * [request] names the [LoanRequest], whose send time starts the loan's term on the borrower's clock. [loan] is unique
 * per lender. [tokens] is at most [capacityTokens].
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
