package lacewingweir.coordination.peer

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Gives a loan back before its term ends, with the [tokens] left of it. Applied at most once.
 */
@Serializable
@SerialName("loanReturn")
public data class LoanReturn(
    val loan: Long,
    val tokens: Long,
) : PeerMessage
