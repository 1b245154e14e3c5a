package lacewingweir.state.bundle

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * How a route that is not repeatable handles a call with an idempotency key while the configuration store can't record
 * the claim.
 */
@Serializable
public enum class ClaimOutagePolicy {
    /** Refuses the call with status 503 and reports that it was not run. */
    @SerialName("refuse")
    REFUSE,

    /** Sends the call once without a claim. A repeat with the same key runs the call again. */
    @SerialName("runWithoutClaim")
    RUN_WITHOUT_CLAIM,
}
