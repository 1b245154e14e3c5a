package lacewingweir.protocol.operator

import kotlinx.serialization.Serializable

/** A live peer as its last heartbeat showed it, [heartbeatAgeMillis] ago. */
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
