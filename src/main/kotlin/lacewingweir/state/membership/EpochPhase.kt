package lacewingweir.state.membership

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Phase of a membership epoch. */
@Serializable
public enum class EpochPhase {
    /** Shares shrink to the smaller of the old and the new one; nobody grows yet. */
    @SerialName("pending")
    PENDING,

    /** Every old member has shrunk or provably stopped, so members may use their full new share. */
    @SerialName("active")
    ACTIVE,
}
