package lacewingweir.state.bundle

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The scheduling priority of a route's traffic. */
@Serializable
public enum class TrafficClass {
    /** Takes precedence over batch traffic. */
    @SerialName("interactive")
    INTERACTIVE,

    /** Yields to interactive traffic, but is never starved. */
    @SerialName("batch")
    BATCH,
}
