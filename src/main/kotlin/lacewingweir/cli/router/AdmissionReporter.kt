/** Logs periodically what an instance keeps away from endpoints. Quiet periods are left out. */
package lacewingweir.cli.router

import io.github.oshai.kotlinlogging.KotlinLogging
import lacewingweir.coordination.crash.QuarantineFigures
import lacewingweir.coordination.placement.LimitFigures
import lacewingweir.coordination.placement.OutdatedWeightsFigures
import lacewingweir.coordination.stream.StreamFigures
import lacewingweir.coordination.time.TimerService

private val logger = KotlinLogging.logger {}

/**
 * What an instance has kept away from endpoints because it would crash them, because of limits, because a stream
 * could not go on, or because the weights of engines were outdated, and how many of its own parts have failed.
 */
internal data class AdmissionFigures(
    val quarantine: QuarantineFigures,
    val limits: LimitFigures,
    val streams: StreamFigures,
    val outdated: OutdatedWeightsFigures,
    val partFailures: Long,
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
                val (quarantine, limits, streams) = current
                val (quarantineBefore, limitsBefore, streamsBefore) = reported
                val outdated = current.outdated
                val outdatedBefore = reported.outdated
                "admission: blockedParts=${quarantine.blockedParts} blockedRequests=${quarantine.blockedRequests} " +
                    "requestsOnTrial=${quarantine.requestsOnTrial} " +
                    "blockedCalls=${quarantine.blockedCalls - quarantineBefore.blockedCalls} " +
                    "trials=${quarantine.trials - quarantineBefore.trials} " +
                    "failedTrials=${quarantine.failedTrials - quarantineBefore.failedTrials} " +
                    "limitedEndpoints=${limits.endpoints} " +
                    "pauses=${limits.pauses - limitsBefore.pauses} " +
                    "limitedSends=${limits.sends - limitsBefore.sends} " +
                    "limitedCalls=${limits.refusals - limitsBefore.refusals} " +
                    "streamsContinued=${streams.continued - streamsBefore.continued} " +
                    "streamsRefused=${streams.refused - streamsBefore.refused} " +
                    "streamQuestions=${streams.asked - streamsBefore.asked} " +
                    "outdatedSends=${outdated.sends - outdatedBefore.sends} " +
                    "outdatedRefusals=${outdated.refusals - outdatedBefore.refusals} " +
                    "withdrawn=${outdated.withdrawals - outdatedBefore.withdrawals} " +
                    "partFailures=${current.partFailures - reported.partFailures}"
            }
        }
        reported = current
    }

    private companion object {
        const val REPORT_PERIOD_MILLIS: Long = 5_000
    }
}
