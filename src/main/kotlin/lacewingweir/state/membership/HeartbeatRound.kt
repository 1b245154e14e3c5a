package lacewingweir.state.membership

import lacewingweir.state.id.InstanceName

/** A round of heartbeats sent at [sentMillis], with the instances that acknowledged it at the same epoch. */
public data class HeartbeatRound(
    val number: Long,
    val epoch: Long,
    val sentMillis: Long,
    val acknowledgedBy: Set<InstanceName>,
)
