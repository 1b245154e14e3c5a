package lacewingweir.cli.measure

import kotlinx.serialization.Serializable

/** Time to first token of direct calls to engines and of calls through instances, in milliseconds. */
@Serializable
internal data class OverheadResult(
    val requestsPerSecond: Double,
    val requests: Int,
    val notWhole: Int,
    val directP50: Double,
    val directP99: Double,
    val throughP50: Double,
    val throughP99: Double,
)
