package lacewingweir.standin.engine

import kotlinx.serialization.Serializable

/**
 * Counters of a [StandinEngine] since its start; a reset doesn't clear them.
 *
 * [runs] counts the runs that began for each request id. [recomputedPieces] and [cachedPieces] count the prompt's
 * whole pieces that were missing from the cache and found in it. [tokensBySalt] counts prompt tokens and answer
 * tokens sent for each `cache_salt`, which tells customers apart. [captured] is empty unless capturing is on.
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
