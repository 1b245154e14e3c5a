package lacewingweir.standin.platform

import kotlinx.serialization.Serializable

/**
 * Fault switches of a [StandinPlatform]; the default is no fault.
 *
 * [delayMillis] passes before a request takes effect. [loseAnswersAfterEffect] and [dropRequests] are probabilities
 * from 0 to 1 that the connection is closed after, or before, a request took effect. With [stallWatches] open watches
 * stay connected and send nothing; held events follow once the switch is cleared.
 */
@Serializable
public data class StandinPlatformFaults(
    val down: PlatformOutage? = null,
    val delayMillis: Long = 0,
    val loseAnswersAfterEffect: Double = 0.0,
    val stallWatches: Boolean = false,
    val dropRequests: Double = 0.0,
)
