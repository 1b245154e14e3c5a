package lacewingweir.coordination.membership

import lacewingweir.state.id.BundleNumber
import lacewingweir.state.id.CustomerId

/** What the other parts of an instance contribute to its next heartbeat. */
public data class HeartbeatPayload(
    val bundle: BundleNumber = BundleNumber.NONE,
    val keyRecords: Int = 0,
    val ready: Boolean = false,
    val rateHints: Map<CustomerId, Long> = emptyMap(),
)
