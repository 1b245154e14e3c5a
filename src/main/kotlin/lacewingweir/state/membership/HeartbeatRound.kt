package lacewingweir.state.membership

import lacewingweir.state.id.InstanceName

/** One round of heartbeats that was sent at [sentMillis] and those who acknowledged it at the same epoch. */
public data class HeartbeatRound(
    val number: Long,
    val epoch: Long,
    val sentMillis: Long,
    val acknowledgedBy: Set<InstanceName>,
)
