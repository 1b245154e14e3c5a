package lacewingweir.standin.service

import kotlinx.serialization.Serializable

/**
 * Counters of a [StandinService] since its start.
 *
 * [runs] counts runs by `Idempotency-Key`, or by `X-Request-Id` for calls without one. [captured] is empty unless
 * capturing is on.
 */
@Serializable
public data class StandinServiceStats(
    val runs: Map<String, Int>,
    val totalRuns: Long,
    val refused: Long,
    val answersDropped: Long,
    val captured: List<String>,
)
