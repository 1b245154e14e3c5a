package lacewingweir.cli.router

import io.github.oshai.kotlinlogging.KotlinLogging
import lacewingweir.coordination.time.TimerService
import lacewingweir.state.id.ServiceName
import lacewingweir.transport.http.CloseReason
import lacewingweir.transport.http.ResponseDefect
import lacewingweir.transport.http.StatusPair
import lacewingweir.transport.relay.RepeatFigures
import java.util.Locale

private val logger = KotlinLogging.logger {}

/**
 * Logs periodically the repeats of calls, the responses to other requests that were skipped, by status, the second
 * responses to answered requests, by both statuses, the malformed responses, by their senders and defects, and the
 * connections of callers that were closed before a complete response, by reason.
 *
 * Totals count from the start of the process. Services without changes are left out.
 */
internal class RepeatReporter(
    private val timers: TimerService,
    private val repeats: () -> Map<ServiceName, RepeatFigures>,
    private val skippedResponses: () -> Map<Int, Long>,
    private val secondResponses: () -> Map<StatusPair, Long>,
    private val malformedResponses: () -> Map<String, Map<ResponseDefect, Long>>,
    private val unansweredCloses: () -> Map<CloseReason, Long>,
) {
    private var reportedRepeats = emptyMap<ServiceName, RepeatFigures>()
    private var reportedSkipped = emptyMap<Int, Long>()
    private var reportedSecond = emptyMap<StatusPair, Long>()
    private var reportedMalformed = emptyMap<String, Map<ResponseDefect, Long>>()
    private var reportedCloses = emptyMap<CloseReason, Long>()

    fun start() {
        timers.every("repeat report", REPORT_PERIOD_MILLIS) { report() }
    }

    private fun report() {
        val current = repeats()
        for ((service, figures) in current) {
            val previous = reportedRepeats[service]
            if (figures.granted == previous?.granted.orEmpty() && figures.denied == previous?.denied.orEmpty()) continue
            logger.info {
                "repeats: service=$service inWindow=${figures.inWindow} unread=${figures.unread} " +
                    "usable=${"%.1f".format(Locale.ROOT, figures.usable)} instances=${figures.instances} " +
                    "granted=${figures.granted} sent=${figures.sent} denied=${figures.denied}"
            }
        }
        reportedRepeats = current
        val skipped = skippedResponses()
        if (skipped != reportedSkipped) logger.info { "responses: skipped=$skipped" }
        reportedSkipped = skipped
        val second = secondResponses()
        if (second != reportedSecond) logger.info { "responses: second=$second" }
        reportedSecond = second
        val malformed = malformedResponses().filterValues { it.isNotEmpty() }
        if (malformed != reportedMalformed) logger.info { "responses: malformed=$malformed" }
        reportedMalformed = malformed
        val closes = unansweredCloses()
        if (closes != reportedCloses) logger.info { "connections: closed before a complete response=$closes" }
        reportedCloses = closes
    }

    private companion object {
        const val REPORT_PERIOD_MILLIS: Long = 5_000
    }
}
