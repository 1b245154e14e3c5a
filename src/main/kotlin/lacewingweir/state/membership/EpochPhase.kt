package lacewingweir.state.membership

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The phase of a membership epoch. */
@Serializable
public enum class EpochPhase {
    /** Each instance reduces its share to the smaller of the old and the new one. No share grows yet. */
    @SerialName("pending")
    PENDING,

    /** Every previous member has reduced its share or provably stopped, so members may use their full new shares. */
    @SerialName("active")
    ACTIVE,
}
