package lacewingweir.cli.router

import io.github.oshai.kotlinlogging.KotlinLogging
import lacewingweir.coordination.time.TimerService
import lacewingweir.transport.relay.HandoverStep
import lacewingweir.transport.relay.StreamCutCause

private val logger = KotlinLogging.logger {}

/** The streams that ended early and the handovers since the start of an instance. */
internal data class StreamTotals(
    val cuts: Map<StreamCutCause, Long>,
    val handovers: Map<HandoverStep, Long>,
)

/** Logs [totals] periodically. Periods without changes are left out. */
internal class StreamReporter(
    private val timers: TimerService,
    private val totals: () -> StreamTotals,
) {
    private var reported = totals()

    fun start() {
        timers.every("stream report", REPORT_PERIOD_MILLIS) { report() }
    }

    private fun report() {
        val current = totals()
        if (current != reported) logger.info { "streams: cut=${current.cuts} handovers=${current.handovers}" }
        reported = current
    }

    private companion object {
        const val REPORT_PERIOD_MILLIS: Long = 5_000
    }
}
