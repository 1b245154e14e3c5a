package lacewingweir.transport.relay

import io.github.oshai.kotlinlogging.KotlinLogging
import lacewingweir.coordination.fleet.FleetDirectory
import lacewingweir.coordination.fleet.StoreContactProof
import lacewingweir.state.crash.CallSuspects
import lacewingweir.state.fleet.RoutePolicy
import lacewingweir.state.id.CustomerId
import lacewingweir.state.id.EndpointId
import lacewingweir.state.id.EndpointTag
import lacewingweir.state.id.RequestFingerprint
import lacewingweir.state.retry.RepeatCause
import lacewingweir.state.time.MonotonicClock
import lacewingweir.transport.http.ConnectionUse
import lacewingweir.transport.http.ServerExchange
import lacewingweir.transport.traffic.KeyedCounter
import java.util.Locale
import kotlin.random.Random

private val logger = KotlinLogging.logger {}

/**
 * Records the sends of one call, and responds to its caller if the call is refused or fails.
 *
 * @property passOrigin what another instance tells of a call that it passes on, or null for calls that callers send to
 *   this instance
 * @property cuts counts the streams that end early
 */
internal class CallState(
    val call: InboundCall,
    val exchange: ServerExchange,
    private val directory: FleetDirectory,
    private val proof: StoreContactProof,
    private val clock: MonotonicClock,
    private val limits: () -> RelayLimits,
    private val random: Random,
    val passOrigin: PassOrigin? = null,
    private val stop: InstanceStop = InstanceStop(clock),
    private val cuts: KeyedCounter<StreamCutCause> = KeyedCounter(),
) {
    val progress = StreamProgress(exchange)
    var route: RoutePolicy? = null

    /** The customer whose key the call has, or null if its route needs no key. */
    var customer: CustomerId? = null

    /** What the call can be blamed for if its endpoint crashes. Must not be read before [customer] is known. */
    val suspects: CallSuspects by lazy(LazyThreadSafetyMode.NONE) {
        val fingerprint = RequestFingerprint.of(customer, call.method, call.host, call.target, call.body)
        CallSuspects(call.prompt?.sharedParts.orEmpty(), fingerprint)
    }

    /** Whether this call is the one that tries out its suspected request. */
    var onTrial = false
    var deadlineAtMillis = 0L
    var sends = 0

    /** Number of sends after which the call may have been executed, those of the passing instance included. */
    var possibleRuns = passOrigin?.possibleRuns ?: 0
    var errorResponse: SendOutcome.ErrorResponse? = null
    var triedEndpoints: Set<EndpointId> = emptySet()
    var lastEndpoint: EndpointId? = null

    /** The instances to which the call was to be passed on. */
    var triedInstances: Set<String> = emptySet()

    /**
     * The endpoints that may send a success for an earlier send of the call, which would pass for the answer to another
     * one: those that have received the call since the last event of its stream. An answer to an earlier send would
     * repeat that event.
     */
    var receivedBy: Set<EndpointTag> = passOrigin?.receivedBy.orEmpty()
        private set

    /** Records that [endpoint] has received the call. */
    fun onReceived(endpoint: EndpointTag) {
        receivedBy += endpoint
    }

    /** Records that events of the stream were forwarded. */
    fun onStreamContinued() {
        receivedBy = emptySet()
    }

    /** Why the next send is a repeat, or null if no endpoint has received the call yet. */
    var repeatCause: RepeatCause? = null

    /** The grant for the next send if it is a repeat. */
    var repeat: RepeatGrant? = null

    /** When all endpoints that were sent the call have read it at the latest, by the monotonic clock. */
    private var readByMillis = 0L

    /** Whether the call has been written to an endpoint that hasn't shown yet that it has read it. */
    private var unread = false

    /** Records that the call is being written to a connection that had been used for [use]. */
    fun onSend(use: ConnectionUse) {
        connection = use
        unread = true
        repeat?.sent()
    }

    /** Records that the call was passed on to an instance, which may have sent it to an endpoint. */
    fun onPassed() {
        repeat?.sent()
        unread = true
        onSendEnd()
    }

    /** Records that the endpoint has read the call, as a response or the end of the connection shows. */
    fun onRead() {
        unread = false
        readByMillis = maxOf(readByMillis, clock.nowMillis())
        repeat?.read(readByMillis)
    }

    /** Records that the present send has ended. If its endpoint has been silent, it may read the call later. */
    fun onSendEnd() {
        if (!unread) return
        unread = false
        readByMillis = maxOf(readByMillis, clock.nowMillis() + MAX_SILENCE_MILLIS)
        repeat?.read(readByMillis)
    }

    /** Uses [grant] for the next send, which is a repeat because of [cause]. */
    fun beginRepeat(
        grant: RepeatGrant?,
        cause: RepeatCause,
    ) {
        endRepeat()
        repeat = grant
        repeatCause = cause
    }

    /** Ends the use of [repeat]: gives it back unless it was sent. */
    fun endRepeat() {
        repeat?.release()
        repeat?.read(maxOf(readByMillis, clock.nowMillis()))
        repeat = null
    }

    /** The grant for the send after the present one, for which this one was given up. */
    var nextRepeat: RepeatGrant? = null

    /** The connection of the last send as it was before, or null if there was none. */
    var connection: ConnectionUse? = null

    /** Number of responses to other requests that were skipped during the sends of this call. */
    var skipped = 0

    /** What decides to whom a response belongs, for the beginning of log lines. */
    val sendFacts: String
        get() = "at=$lastEndpoint sends=$sends again=$sentAgain skipped=$skipped ${connection ?: "unsent"}"

    /** Whether the endpoint of the last send had been tried before. */
    var sentAgain = false

    @Volatile
    var callerDisconnected = false

    /** The run that a handover has stopped and no engine has taken, or null. */
    var lostRun: HandedOverRun? = null

    val mayHaveRun: Boolean
        get() = possibleRuns > 0

    /** Records that the call was sent through another instance, whose response is lost. */
    fun onLost() {
        sends++
        possibleRuns++
        repeatCause = RepeatCause.BROKEN
    }

    /**
     * Refuses the call, or calls [fail] if it may have run, because a refusal says that it has not. Always returns
     * null, so that a function can return the result in place of a value.
     */
    suspend fun <T> refuse(
        refusal: RelayRefusal,
        retryAfterMillis: Long,
    ): T? {
        if (mayHaveRun) {
            fail()
            return null
        }
        val retryAfter =
            String.format(
                Locale.ROOT,
                "%.2f",
                retryAfterMillis * (1 + random.nextDouble(RETRY_JITTER)) / MILLIS_PER_SECOND,
            )
        log("refused reason=$refusal retryAfter=$retryAfter")
        exchange.respond(refusal.status, listOf("Retry-After" to retryAfter))
        return null
    }

    val remainingMillis: Long
        get() = stop.remainingMillis(deadlineAtMillis)

    /** Ends the call because its deadline has passed. */
    suspend fun failOnTimeout() {
        if (mayHaveRun) finish(RelayRefusal.TIMED_OUT) else finish(RelayRefusal.OUT_OF_TIME)
    }

    /** Ends the call because it may not be sent again. */
    suspend fun fail() {
        if (mayHaveRun) finish(RelayRefusal.FAILED) else finish(RelayRefusal.NOT_RUN)
    }

    private suspend fun finish(refusal: RelayRefusal) {
        val failure = errorResponse
        when {
            progress.started -> {
                val cause = cutCause(refusal)
                cuts.increment(cause)
                log(
                    "stream cut cause=$cause reason=$refusal sinceSignalMs=${stop.sinceSignalMillis} " +
                        "handover=${lostRun?.describe(clock.nowMillis())}",
                )
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

    private fun cutCause(refusal: RelayRefusal): StreamCutCause =
        when {
            lostRun != null -> StreamCutCause.HANDOVER
            refusal != RelayRefusal.TIMED_OUT -> StreamCutCause.ENDPOINT
            stop.callsEndAtMillis < deadlineAtMillis -> StreamCutCause.INSTANCE_STOP
            else -> StreamCutCause.TIME_LIMIT
        }

    /** Logs the final outcome of the call. */
    fun log(outcome: String) {
        val firstEventNanos = if (progress.started) progress.firstEventAtNanos - exchange.arrivedAtNanos else -1
        val total = clock.nowMillis() - call.arrivedAtMillis
        logger.info {
            "relay: id=${call.id} $outcome $sendFacts runs=$possibleRuns route=${route?.id} " +
                "firstMs=${firstEventNanos / NANOS_PER_MILLI} " +
                "pauseMs=${progress.longestPauseMillis} totalMs=$total " +
                "config=${directory.snapshot.config?.number} proofMs=${proof.ageMillis()}"
        }
    }

    private companion object {
        /** Greatest share added at random to `Retry-After`, so that calls refused together don't retry together. */
        const val RETRY_JITTER: Double = 0.5

        /** A sound endpoint may read nothing for a second or so. */
        const val MAX_SILENCE_MILLIS: Long = 1_500
        const val MILLIS_PER_SECOND: Double = 1_000.0
        const val NANOS_PER_MILLI: Long = 1_000_000
    }
}
