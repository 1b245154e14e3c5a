package lacewingweir.coordination.peer

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import lacewingweir.state.id.BundleNumber
import lacewingweir.state.id.CustomerId

/**
 * Sent to every peer about once a second.
 *
 * [number] grows with each round and is echoed by [HeartbeatAck]. [epoch] is the newest epoch that the sender has
 * adopted, [confirmedEpoch] the newest to whose shares it has shrunk. [keyRecords] counts the key records held, so
 * that a peer that holds more sends what is missing. [rateHints] gives spare tokens for a bounded number of
 * customers.
 */
@Serializable
@SerialName("heartbeat")
public data class Heartbeat(
    val number: Long,
    val epoch: Long,
    val confirmedEpoch: Long,
    val bundle: BundleNumber,
    val keyRecords: Int,
    val ready: Boolean,
    val rateHints: Map<CustomerId, Long> = emptyMap(),
) : PeerMessage
