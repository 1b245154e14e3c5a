package lacewingweir.standin.platform

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The way in which a [StandinPlatform] is unavailable. */
@Serializable
public enum class PlatformOutage {
    /** Connections are refused and open ones are closed. */
    @SerialName("refuse")
    REFUSE,

    /** Connections are accepted and requests are read, but not processed or answered. */
    @SerialName("hang")
    HANG,
}
