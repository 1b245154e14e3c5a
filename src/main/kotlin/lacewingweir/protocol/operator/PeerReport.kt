package lacewingweir.protocol.operator

import kotlinx.serialization.Serializable

/** State of a live peer according to its last heartbeat, which was received [heartbeatAgeMillis] ago. */
@Serializable
public data class PeerReport(
    val name: String,
    val failureDomain: String,
    val host: String,
    val operatorPort: Int,
    val bundle: Long,
    val epoch: Long,
    val ready: Boolean,
    val heartbeatAgeMillis: Long,
)
