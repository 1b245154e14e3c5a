/** Logs periodically what an instance keeps away from endpoints. Quiet periods are left out. */
package lacewingweir.cli.router

import io.github.oshai.kotlinlogging.KotlinLogging
import lacewingweir.coordination.time.TimerService

private val logger = KotlinLogging.logger {}

/**
 * [blockedParts] and [limitedEndpoints] are those at present. The other figures are counted from the start: calls
 * refused for blocked parts, requests sent to limited endpoints, and calls refused because all endpoints were limited.
 */
internal data class AdmissionFigures(
    val blockedParts: Int,
    val blockedCalls: Long,
    val limitedEndpoints: Int,
    val limitedSends: Long,
    val limitedCalls: Long,
)

internal class AdmissionReporter(
    private val timers: TimerService,
    private val figures: () -> AdmissionFigures,
) {
    private var reported = figures()

    fun start() {
        timers.every("admission report", REPORT_PERIOD_MILLIS) { report() }
    }

    private fun report() {
        val current = figures()
        if (current != reported) {
            logger.info {
                "admission: blockedParts=${current.blockedParts} " +
                    "blockedCalls=${current.blockedCalls - reported.blockedCalls} " +
                    "limitedEndpoints=${current.limitedEndpoints} " +
                    "limitedSends=${current.limitedSends - reported.limitedSends} " +
                    "limitedCalls=${current.limitedCalls - reported.limitedCalls}"
            }
        }
        reported = current
    }

    private companion object {
        const val REPORT_PERIOD_MILLIS: Long = 5_000
    }
}
