package lacewingweir.load

import kotlinx.serialization.Serializable

/**
 * Results of one load run.
 *
 * @property total the results of all requests.
 * @property streams the results for each pair of customer and stream label.
 * @property worstToMedianP99 the highest P99 of the time to first token among [streams], divided by the median P99.
 * @property firstErrors the first error messages of the run.
 */
@Serializable
public data class LoadReport(
    val scenario: String,
    val seed: Long,
    val total: StreamReport,
    val streams: List<StreamReport>,
    val worstToMedianP99: Double,
    val firstErrors: List<String>,
)
