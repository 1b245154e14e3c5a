package lacewingweir.state.stream

import lacewingweir.state.id.ServiceName
import lacewingweir.state.id.SoftwareVersion

/**
 * A software version that endpoints of [service] have served with, for the record in the store.
 *
 * [untilUnixMillis] is the time of day at which the last of them had left, or null if some serve now. [software] is
 * null if the endpoints don't say which version they are.
 */
internal data class ServedVersion(
    val service: ServiceName,
    val software: SoftwareVersion?,
    val untilUnixMillis: Long? = null,
)
