package lacewingweir.coordination.membership

import lacewingweir.state.id.BundleNumber
import lacewingweir.state.id.CustomerId

/** The fields of a heartbeat that other components of the instance supply. */
public data class HeartbeatPayload(
    val bundle: BundleNumber = BundleNumber.NONE,
    val keyRecords: Int = 0,
    val ready: Boolean = false,
    val rateHints: Map<CustomerId, Long> = emptyMap(),
)
