package lacewingweir.state.bundle

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** How urgent a route's traffic is. */
@Serializable
public enum class TrafficClass {
    /** Served first. */
    @SerialName("interactive")
    INTERACTIVE,

    /** May wait, but is never starved. */
    @SerialName("batch")
    BATCH,
}
