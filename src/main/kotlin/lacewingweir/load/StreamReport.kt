package lacewingweir.load

import kotlinx.serialization.Serializable

/**
 * StreamMetrics of some requests. Times to first token are in milliseconds from the scheduled arrival.
 *
 * [refused] counts by status; status 0 means that no connection could be made. [broken] must be zero: it counts
 * answers that were cut without an explicit error or lacked tokens.
 */
@Serializable
public data class StreamReport(
    val customer: String,
    val label: String,
    val sent: Long,
    val whole: Long,
    val refused: Map<Int, Long>,
    val explicitErrors: Long,
    val broken: Long,
    val firstTokenP50: Double,
    val firstTokenP99: Double,
    val firstTokenP999: Double,
    val promptTokens: Long,
    val cachedTokens: Long,
    val answerTokens: Long,
) {
    /** Share of the prompt tokens that engines took from their cache. */
    public val hitRate: Double
        get() = if (promptTokens == 0L) 0.0 else cachedTokens.toDouble() / promptTokens
}
