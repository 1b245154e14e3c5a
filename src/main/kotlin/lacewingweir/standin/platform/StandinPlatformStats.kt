package lacewingweir.standin.platform

import kotlinx.serialization.Serializable

/**
 * Counters of a [StandinPlatform] since its start.
 *
 * [reads] contains one call a second for each waiting watch. [overLimit] counts calls answered with 429, [answersLost]
 * and [requestsDropped] the effects of faults.
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
