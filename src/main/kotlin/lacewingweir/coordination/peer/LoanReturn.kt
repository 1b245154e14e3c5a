package lacewingweir.coordination.peer

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Returns a loan before its term ends, with the remaining [tokens]. The receiver applies it at most once. */
@Serializable
@SerialName("loanReturn")
public data class LoanReturn(
    val loan: Long,
    val tokens: Long,
) : PeerMessage
