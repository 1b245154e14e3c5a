package lacewingweir.standin.platform

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * The faults that a [StandinPlatform] injects. There are none by default.
 *
 * [delayMillis] is a delay before each request is processed. [dropRequests] and [loseResponsesAfterEffect] are the
 * probabilities, from 0 to 1, that the connection is closed without a response before or after a request takes effect.
 * While [stallWatches] is set, open watches stay connected but send nothing. The pending events are sent afterwards.
 */
@Serializable
public data class StandinPlatformFaults(
    val down: PlatformOutage? = null,
    val delayMillis: Long = 0,
    @SerialName("loseAnswersAfterEffect") val loseResponsesAfterEffect: Double = 0.0,
    val stallWatches: Boolean = false,
    val dropRequests: Double = 0.0,
)
