package lacewingweir.standin.service

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Counters of a [StandinService] since its start.
 *
 * @property runs the number of runs by `Idempotency-Key`, or by `X-Request-Id` for calls without that header.
 * @property refused the number of calls refused without a run.
 * @property responsesDropped the number of runs whose response was dropped.
 * @property captured all requests; empty unless [StandinServiceOptions.capture] is set.
 */
@Serializable
public data class StandinServiceStats(
    val runs: Map<String, Int>,
    val totalRuns: Long,
    val refused: Long,
    @SerialName("answersDropped") val responsesDropped: Long,
    val captured: List<String>,
)
