package lacewingweir.load

import kotlinx.serialization.Serializable

/** StreamMetrics of one load run. [streams] has one entry for each customer and stream label, [total] all of them. */
@Serializable
public data class LoadReport(
    val scenario: String,
    val seed: Long,
    val total: StreamReport,
    val streams: List<StreamReport>,
    val worstToMedianP99: Double,
    val firstErrors: List<String>,
)
