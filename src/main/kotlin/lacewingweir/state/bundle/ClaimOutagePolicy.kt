package lacewingweir.state.bundle

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** What an unrepeatable route does with an idempotency key while the configuration store can't record the claim. */
@Serializable
public enum class ClaimOutagePolicy {
    /** Refuses with 503 and "not run". */
    @SerialName("refuse")
    REFUSE,

    /** Sends the call once without a claim; a repeat on another instance would run again. */
    @SerialName("runWithoutClaim")
    RUN_WITHOUT_CLAIM,
}
