package lacewingweir.protocol.operator

import kotlinx.serialization.Serializable

/** Body of `POST /keys/withdraw`. It contains the digest of the key, never the key itself. */
@Serializable
public data class WithdrawalRequest(
    val digest: String,
)
