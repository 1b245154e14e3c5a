package lacewingweir.standin.platform

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** How a [StandinPlatform] is down. */
@Serializable
public enum class PlatformOutage {
    /** Connections are refused and open ones are closed. */
    @SerialName("refuse")
    REFUSE,

    /** Connections are accepted and requests are read, but nothing is run or answered. */
    @SerialName("hang")
    HANG,
}
