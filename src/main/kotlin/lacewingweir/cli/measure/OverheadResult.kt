package lacewingweir.cli.measure

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Times to first token of direct calls to engines and of calls through instances, in milliseconds.
 *
 * [requestsPerSecond] is the rate of each of the two kinds of calls. [requests] counts both kinds after the warm-up,
 * and [incomplete] counts those of them that didn't receive a complete answer.
 */
@Serializable
internal data class OverheadResult(
    val requestsPerSecond: Double,
    val requests: Int,
    @SerialName("notWhole")
    val incomplete: Int,
    val directP50: Double,
    val directP99: Double,
    val throughP50: Double,
    val throughP99: Double,
)
