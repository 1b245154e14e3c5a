/** Logs periodically what an instance has learned of the speeds of endpoints. Periods without samples are left out. */
package lacewingweir.cli.router

import io.github.oshai.kotlinlogging.KotlinLogging
import lacewingweir.coordination.time.TimerService
import lacewingweir.state.id.ServiceName
import lacewingweir.state.placement.SpeedFigures

private val logger = KotlinLogging.logger {}

/** Reports quartiles of engines in tokens per millisecond, and those of other endpoints in calls per millisecond. */
internal class SpeedReporter(
    private val timers: TimerService,
    private val figures: () -> Map<ServiceName, SpeedFigures>,
) {
    private var reportedSamples = 0L

    fun start() {
        timers.every("speed report", REPORT_PERIOD_MILLIS) { report() }
    }

    private fun report() {
        val current = figures()
        val samples = current.values.sumOf { it.samples }
        if (samples != reportedSamples) {
            logger.info {
                "speeds: unevenServices=${current.values.count { it.isUneven }} " +
                    "samples=${samples - reportedSamples} ${current.entries.joinToString(" ", transform = ::quartiles)}"
            }
        }
        reportedSamples = samples
    }

    private fun quartiles(entry: Map.Entry<ServiceName, SpeedFigures>) =
        entry.value.run { "%s=%.3g/%.3g/%.3g".format(entry.key.value, lowerQuartile, middle, upperQuartile) }

    private companion object {
        const val REPORT_PERIOD_MILLIS: Long = 5_000
    }
}
