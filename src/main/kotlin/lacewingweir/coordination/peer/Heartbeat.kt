package lacewingweir.coordination.peer

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import lacewingweir.state.id.BundleNumber
import lacewingweir.state.id.CustomerId

/**
 * Reports the state of the sender. Sent to every peer about once a second.
 *
 * @property number increases with each round and is echoed by [HeartbeatAck]
 * @property epoch latest epoch that the sender has adopted
 * @property confirmedEpoch latest epoch to whose shares the sender has reduced its own
 * @property bundle number of the configuration bundle that the sender holds
 * @property keyRecords number of key records that the sender holds; a peer that holds more sends the missing ones
 * @property ready whether the sender is ready to serve and to join an epoch
 * @property rateHints tokens that the sender can spare, for a bounded number of customers
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
