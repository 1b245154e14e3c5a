package lacewingweir.coordination.peer

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Refuses a [LoanRequest] because the sender has no capacity to spare. */
@Serializable
@SerialName("loanRefusal")
public data class LoanRefusal(
    val request: Long,
) : PeerMessage
