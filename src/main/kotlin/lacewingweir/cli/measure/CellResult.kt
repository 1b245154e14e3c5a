package lacewingweir.cli.measure

import kotlinx.serialization.Serializable

/**
 * Statistics of one cell.
 *
 * Times to first token are in milliseconds from the scheduled arrival. They include only interactive requests of
 * customers that stay within their rate.
 *
 * [hitRate] and [oracleHitRate] are the cached fractions of all prompt tokens, on the engines and in the [OracleCache].
 * [recomputedOverMinimum] is the number of recomputed prompt tokens divided by the number that the [OracleCache] would
 * recompute. [worstOverMedian] is the highest p99 time to first token of a customer divided by the median of the
 * customers' p99 times. [explicitErrors] counts answers that ended in an error event, and [broken] counts wrong
 * answers; [firstBroken] has the reasons of the first few. [refusals] counts refused requests by HTTP status.
 * [wrongfulRefusals] is the fraction of requests within their customer's rate that were refused with any status.
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
