/** Logs periodically what an instance keeps away from endpoints. Quiet periods are left out. */
package lacewingweir.cli.router

import io.github.oshai.kotlinlogging.KotlinLogging
import lacewingweir.coordination.time.TimerService

private val logger = KotlinLogging.logger {}

/** [blockedParts] are blocked now. [blockedCalls] is the number of calls refused for them since the start. */
internal data class AdmissionFigures(
    val blockedParts: Int,
    val blockedCalls: Long,
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
                    "blockedCalls=${current.blockedCalls - reported.blockedCalls}"
            }
        }
        reported = current
    }

    private companion object {
        const val REPORT_PERIOD_MILLIS: Long = 5_000
    }
}
