package lacewingweir.coordination.peer

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import lacewingweir.state.id.CustomerId

/**
 * Asks for [tokens] of a customer's rate. [request] is unique per sender and never used twice.
 */
@Serializable
@SerialName("loanRequest")
public data class LoanRequest(
    val request: Long,
    val customer: CustomerId,
    val tokens: Long,
) : PeerMessage
