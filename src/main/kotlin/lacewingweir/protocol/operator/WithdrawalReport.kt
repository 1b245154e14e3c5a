package lacewingweir.protocol.operator

import kotlinx.serialization.Serializable

/** Answer of `POST /keys/withdraw`: instances that reject the key now, and connected ones that did not confirm it. */
@Serializable
public data class WithdrawalReport(
    val confirmed: List<String>,
    val unconfirmed: List<String>,
    val inStore: Boolean,
)
