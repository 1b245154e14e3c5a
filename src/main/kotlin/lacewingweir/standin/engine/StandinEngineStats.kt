package lacewingweir.standin.engine

import kotlinx.serialization.Serializable

/**
 * Counters of a [StandinEngine] since its start. A reset doesn't clear them.
 *
 * @property runs the number of started runs by request id.
 * @property recomputedPieces the number of whole prompt pieces that were not cached.
 * @property cachedPieces the number of whole prompt pieces that were cached.
 * @property refused the number of requests refused without a run.
 * @property fencedLoads the number of load commands refused for an outdated fencing token.
 * @property tokensBySalt the number of prompt tokens plus sent answer tokens by `cache_salt`, which identifies the
 *   customer.
 * @property captured all requests; empty unless [StandinEngineOptions.capture] is set.
 */
@Serializable
public data class StandinEngineStats(
    val incarnation: String,
    val runs: Map<String, Int>,
    val recomputedPieces: Long,
    val cachedPieces: Long,
    val evictedPieces: Long,
    val completed: Long,
    val cancelled: Long,
    val refused: Long,
    val loads: Long,
    val fencedLoads: Long,
    val tokensBySalt: Map<String, Long>,
    val captured: List<String>,
)
