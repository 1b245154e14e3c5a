package lacewingweir.coordination.peer

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Answers a [LoanRequest] for which the sender has nothing to spare.
 */
@Serializable
@SerialName("loanRefusal")
public data class LoanRefusal(
    val request: Long,
) : PeerMessage
