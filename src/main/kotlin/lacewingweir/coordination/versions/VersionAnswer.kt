package lacewingweir.coordination.versions

import lacewingweir.state.id.RouteId
import lacewingweir.state.id.ServiceName
import lacewingweir.state.id.SoftwareVersion

/**
 * The end of one send to an endpoint of [version] on [route].
 *
 * @property failed whether the endpoint answered with a 5xx, or its answer broke off or didn't come in time
 * @property millis the time to the first event or the complete response
 * @property expectedMillis the time that the engine was expected to take when it was chosen, or null for endpoints of
 *   plain services
 */
internal data class VersionAnswer(
    val service: ServiceName,
    val version: SoftwareVersion?,
    val route: RouteId,
    val failed: Boolean,
    val millis: Long,
    val expectedMillis: Double? = null,
) {
    /**
     * The time of the answer, for engines in hundredths of the expected time. Engines of a new version have cached few
     * prompts, so their answers take longer without being slower.
     */
    val comparedMillis: Long
        get() = expectedMillis?.let { (millis * 100 / it.coerceAtLeast(MIN_EXPECTED_MILLIS)).toLong() } ?: millis

    private companion object {
        /** Shorter expected times are dominated by the connection and the scheduling of the processes. */
        const val MIN_EXPECTED_MILLIS = 50.0
    }
}
