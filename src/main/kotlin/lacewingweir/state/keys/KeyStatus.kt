package lacewingweir.state.keys

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Whether a key is valid. A withdrawn key can't be granted again. */
@Serializable
public enum class KeyStatus {
    @SerialName("granted")
    GRANTED,

    @SerialName("withdrawn")
    WITHDRAWN,
}
