package lacewingweir.state.stream

import lacewingweir.state.id.ServiceName
import lacewingweir.state.id.SoftwareVersion

/** Where a stream began. It may go on only at endpoints of the same service and [software]; null is no version. */
internal data class StreamOrigin(
    val service: ServiceName,
    val software: SoftwareVersion?,
)
