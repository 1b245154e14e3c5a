package lacewingweir.protocol.operator

import kotlinx.serialization.Serializable

/** State of the instance that sends the report. [unreadyReasons] is empty if it is ready. */
@Serializable
public data class InstanceReport(
    val name: String,
    val failureDomain: String,
    val incarnation: String,
    val bundle: Long,
    val epoch: Long,
    val keyRecords: Int,
    val unreadyReasons: List<String>,
)
