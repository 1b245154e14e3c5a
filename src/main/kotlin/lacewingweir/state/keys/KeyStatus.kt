package lacewingweir.state.keys

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Whether a key is honoured. A withdrawn key never becomes granted again. */
@Serializable
public enum class KeyStatus {
    @SerialName("granted")
    GRANTED,

    @SerialName("withdrawn")
    WITHDRAWN,
}
