package lacewingweir.standin.platform

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Counters of a [StandinPlatform] since its start.
 *
 * [reads] includes one call per second for each open watch. [overLimit] counts the calls answered with status 429.
 * [responsesLost] counts connections closed by [StandinPlatformFaults.loseResponsesAfterEffect], and [requestsDropped]
 * those closed by [StandinPlatformFaults.dropRequests].
 */
@Serializable
public data class StandinPlatformStats(
    val reads: Long,
    val writes: Long,
    val overLimit: Long,
    @SerialName("answersLost") val responsesLost: Long,
    val requestsDropped: Long,
    val openWatches: Int,
    val expiredLeases: Long,
    val keys: Int,
    val revision: Long,
)
