package lacewingweir.coordination.peer

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import lacewingweir.state.id.CustomerId

/**
 * Asks to borrow [tokens] of a customer's rate.
 *
 * @property request id of this request, unique per sender and never reused
 * @property neededTokens part of [tokens] for requests that are already waiting; the rest is for expected requests
 * @property waitedMillis time for which the first of these requests has been waiting
 */
@Serializable
@SerialName("loanRequest")
public data class LoanRequest(
    val request: Long,
    val customer: CustomerId,
    val tokens: Long,
    val neededTokens: Long = 0,
    val waitedMillis: Long = 0,
) : PeerMessage
