package lacewingweir.state.versions

import lacewingweir.state.id.ServiceName
import lacewingweir.state.id.SoftwareVersion

/** The operators' request that the traffic of [service] be moved to endpoints of version [target] within a time. */
internal data class RolloutOrder(
    val service: ServiceName,
    val target: SoftwareVersion,
    val durationMillis: Long,
)
