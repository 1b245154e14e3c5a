package lacewingweir.protocol.operator

import kotlinx.serialization.Serializable

/**
 * Response to `POST /keys/withdraw`.
 *
 * [confirmed] lists the instances that now reject the key, and [unconfirmed] the connected instances that did not
 * confirm this. [inStore] is true if the configuration store holds the withdrawal.
 */
@Serializable
public data class WithdrawalReport(
    val confirmed: List<String>,
    val unconfirmed: List<String>,
    val inStore: Boolean,
)
