package lacewingweir.standin.platform

import kotlinx.serialization.Serializable

/**
 * Counters of a [StandinPlatform] since its start.
 *
 * [reads] includes one call per second for each open watch. [overLimit] counts the calls answered with status 429.
 * [answersLost] and [requestsDropped] count connections closed by [StandinPlatformFaults.loseAnswersAfterEffect] and
 * [StandinPlatformFaults.dropRequests].
 */
@Serializable
public data class StandinPlatformStats(
    val reads: Long,
    val writes: Long,
    val overLimit: Long,
    val answersLost: Long,
    val requestsDropped: Long,
    val openWatches: Int,
    val expiredLeases: Long,
    val keys: Int,
    val revision: Long,
)
