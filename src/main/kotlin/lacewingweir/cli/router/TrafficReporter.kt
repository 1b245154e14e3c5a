/**
 * Logs the background traffic of an instance periodically.
 *
 * Calls of callers share the link and the processor of an instance with digests and store calls, which grow with the
 * fleet. The lateness of timers shows a processor that can't keep up.
 */
package lacewingweir.cli.router

import io.github.oshai.kotlinlogging.KotlinLogging
import lacewingweir.coordination.time.TimerService
import lacewingweir.state.time.MonotonicClock
import lacewingweir.transport.http.HeldFigures
import lacewingweir.transport.http.RequestBodyFigures
import lacewingweir.transport.traffic.MessageTotal

private val logger = KotlinLogging.logger {}

/**
 * Totals since the start of the process, and what responses for callers that read slowly and request bodies hold at
 * present. A store call counts as failed if it was refused or got no usable response.
 */
internal data class BackgroundTraffic(
    val digestsSent: MessageTotal,
    val digestsReceived: MessageTotal,
    val storeResponses: MessageTotal,
    val storeFailures: Long,
    val held: HeldFigures,
    val requestBodies: RequestBodyFigures,
)

internal class TrafficReporter(
    private val timers: TimerService,
    private val clock: MonotonicClock,
    private val requestsInFlight: () -> Int,
    private val traffic: () -> BackgroundTraffic,
) {
    private var reported = traffic()
    private var reportedAtMillis = clock.nowMillis()
    private var lastProbeMillis = clock.nowMillis()
    private var maxLateMillis = 0L

    fun start() {
        timers.every("timer lateness", PROBE_PERIOD_MILLIS, jitter = 0.0) { probe() }
        timers.every("traffic report", REPORT_PERIOD_MILLIS) { report() }
    }

    private fun probe() {
        val now = clock.nowMillis()
        maxLateMillis = maxOf(maxLateMillis, now - lastProbeMillis - PROBE_PERIOD_MILLIS)
        lastProbeMillis = now
    }

    private fun report() {
        val current = traffic()
        val now = clock.nowMillis()
        val sent = current.digestsSent - reported.digestsSent
        val received = current.digestsReceived - reported.digestsReceived
        val store = current.storeResponses - reported.storeResponses
        val storeFailures = current.storeFailures - reported.storeFailures
        logger.info {
            "traffic: periodMs=${now - reportedAtMillis} digestsSent=${sent.messages} digestBytesSent=${sent.bytes} " +
                "digestsReceived=${received.messages} digestBytesReceived=${received.bytes} " +
                "storeResponses=${store.messages} storeBytes=${store.bytes} storeFailures=$storeFailures " +
                "timerLateMs=$maxLateMillis inFlight=${requestsInFlight()} heldBytes=${current.held.bytes} " +
                "heldResponses=${current.held.responses} maxHeldBytes=${current.held.maxBytesOfOne} " +
                "endedUnread=${current.held.ended - reported.held.ended} " +
                "bodyBytes=${current.requestBodies.bytes} " +
                "refusedBodies=${current.requestBodies.refused - reported.requestBodies.refused}"
        }
        reported = current
        reportedAtMillis = now
        maxLateMillis = 0
    }

    private companion object {
        const val PROBE_PERIOD_MILLIS: Long = 1_000
        const val REPORT_PERIOD_MILLIS: Long = 5_000
    }
}
