package lacewingweir.coordination.versions

import lacewingweir.state.id.RouteId
import lacewingweir.state.id.ServiceName
import lacewingweir.state.id.SoftwareVersion

/**
 * The end of one send to an endpoint of [version] on [route].
 *
 * @property failed whether the endpoint answered with a 5xx, or its answer broke off
 * @property unclear whether no answer came for a reason that need not lie with the version: the time ran out, or this
 *   instance was cut off from the service
 * @property millis the time to the first event or the complete response
 * @property referenceMillis the time that an engine of the service's common speed was expected to take when this one
 *   was chosen, or null for endpoints of plain services
 */
internal data class VersionAnswer(
    val service: ServiceName,
    val version: SoftwareVersion?,
    val route: RouteId,
    val failed: Boolean,
    val millis: Long,
    val referenceMillis: Double? = null,
    val unclear: Boolean = false,
) {
    /**
     * The time of the answer, for engines in hundredths of the reference time. Engines of a new version have cached few
     * prompts, so their answers take longer without being slower.
     */
    val comparedMillis: Long
        get() = referenceMillis?.let { (millis * 100 / it.coerceAtLeast(MIN_REFERENCE_MILLIS)).toLong() } ?: millis

    private companion object {
        /** Shorter reference times are dominated by the connection and the scheduling of the processes. */
        const val MIN_REFERENCE_MILLIS = 50.0
    }
}
