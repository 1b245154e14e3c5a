/** One call on its way: what has been tried, and its final answer. */
package lacewingweir.transport.relay

import io.github.oshai.kotlinlogging.KotlinLogging
import lacewingweir.coordination.fleet.ContactProof
import lacewingweir.coordination.fleet.FleetDirectory
import lacewingweir.state.fleet.RoutePolicy
import lacewingweir.state.id.EndpointId
import lacewingweir.state.time.MonotonicClock
import lacewingweir.transport.http.ServerExchange
import java.util.Locale
import kotlin.random.Random

private val logger = KotlinLogging.logger {}

internal class CallState(
    val call: InboundCall,
    val exchange: ServerExchange,
    private val directory: FleetDirectory,
    private val proof: ContactProof,
    private val clock: MonotonicClock,
    private val limits: () -> RelayLimits,
    private val random: Random,
) {
    val progress = StreamProgress(exchange)
    var route: RoutePolicy? = null
    var deadlineAtMillis = 0L
    var sends = 0

    /** Sends that reached an endpoint. */
    var arrivals = 0

    /** Sends after which the call may have run. */
    var runs = 0
    var error: SendOutcome.ErrorAnswer? = null
    var tried: Set<EndpointId> = emptySet()
    var endpoint: EndpointId? = null

    val mayHaveRun: Boolean
        get() = runs > 0

    /** Refuses the call; always returns null, for callers that go on with a value. */
    suspend fun <T> refuse(
        refusal: RelayRefusal,
        retryAfterMillis: Long,
    ): T? {
        val retryAfter =
            String.format(
                Locale.ROOT,
                "%.2f",
                retryAfterMillis * (1 + random.nextDouble(RETRY_SPREAD)) / MILLIS_PER_SECOND,
            )
        log("refused reason=$refusal retryAfter=$retryAfter")
        exchange.respond(refusal.status, listOf("Retry-After" to retryAfter))
        return null
    }

    val remainingMillis: Long
        get() = deadlineAtMillis - clock.nowMillis()

    /** Gives up without another send. */
    suspend fun giveUpUnplaced(
        refusal: RelayRefusal,
        retryAfterMillis: Long,
    ) {
        if (mayHaveRun) giveUp() else refuse<Unit>(refusal, retryAfterMillis)
    }

    /** Gives up because the time is over. */
    suspend fun giveUpLate() {
        if (mayHaveRun) finish(RelayRefusal.TIMED_OUT) else finish(RelayRefusal.OUT_OF_TIME)
    }

    /** Gives up because nothing is left to try. */
    suspend fun giveUp() {
        if (mayHaveRun) finish(RelayRefusal.FAILED) else finish(RelayRefusal.NOT_RUN)
    }

    private suspend fun finish(refusal: RelayRefusal) {
        val failure = error
        when {
            progress.started -> {
                log("stream cut reason=$refusal")
                exchange.abort()
            }
            failure != null -> {
                log("answered status=${failure.head.status}")
                exchange.respond(failure.head.status, failure.head.headers, failure.body)
            }
            mayHaveRun -> {
                log("failed reason=$refusal")
                exchange.respond(refusal.status)
            }
            else -> refuse<Unit>(refusal, limits().notRunRetryMillis)
        }
    }

    /** Writes the call's last line. */
    fun log(outcome: String) {
        val firstNanos = if (progress.started) progress.firstEventAtNanos - exchange.arrivedAtNanos else -1
        val total = clock.nowMillis() - call.arrivedAtMillis
        logger.info {
            "relay: id=${call.id} $outcome route=${route?.id} endpoint=$endpoint sends=$sends runs=$runs " +
                "firstMs=${firstNanos / NANOS_PER_MILLI} pauseMs=${progress.longestPauseMillis} totalMs=$total " +
                "config=${directory.snapshot.config?.number} proofMs=${proof.ageMillis()}"
        }
    }

    private companion object {
        /** Spreads callers that were refused together. */
        const val RETRY_SPREAD: Double = 0.5
        const val MILLIS_PER_SECOND: Double = 1_000.0
        const val NANOS_PER_MILLI: Long = 1_000_000
    }
}
