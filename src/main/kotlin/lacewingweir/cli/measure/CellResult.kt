package lacewingweir.cli.measure

import kotlinx.serialization.Serializable

/**
 * Figures of one cell. Times to first token are in milliseconds from the scheduled arrival, over interactive requests
 * of the customers that stay within their rate.
 *
 * [recomputedOverMinimum] is the number of recomputed tokens over that of the [OracleCache]. [worstOverMedian] is the
 * worst-served customer's p99 over the median customer's. [wrongfulRefusals] is the share of requests within their
 * customer's rate that were refused, whatever the status.
 */
@Serializable
internal data class CellResult(
    val site: String,
    val scenario: String,
    val policy: String,
    val seed: Long,
    val sent: Int,
    val hitRate: Double,
    val oracleHitRate: Double,
    val firstTokenP50: Double,
    val firstTokenP99: Double,
    val firstTokenP999: Double,
    val recomputedOverMinimum: Double,
    val worstOverMedian: Double,
    val explicitErrors: Int,
    val broken: Int,
    val refusals: Map<Int, Int>,
    val wrongfulRefusals: Double,
    val firstBroken: List<String>,
)
