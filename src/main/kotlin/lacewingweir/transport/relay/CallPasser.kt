/**
 * Passes calls on to another instance, if this one is cut off from the endpoints of their service.
 *
 * A call is passed on once at most. This instance has checked its route and key, and its customer's rate counts it
 * here. The other instance checks them again, except for the rate, and decides on everything else: the endpoint,
 * repeats and refusals. It learns where this one has sent the call before, so that the limits of its route hold for
 * both. Its response is passed on as it is.
 */
package lacewingweir.transport.relay

import io.github.oshai.kotlinlogging.KotlinLogging
import lacewingweir.coordination.reach.PassTargets
import lacewingweir.coordination.reach.ReachMonitor
import lacewingweir.state.fleet.PeerEntry
import lacewingweir.state.id.EndpointTag
import lacewingweir.state.id.RequestId
import lacewingweir.state.id.ServiceName
import lacewingweir.transport.http.BufferBudget
import lacewingweir.transport.http.ClientRequest
import lacewingweir.transport.http.ClientResponse
import lacewingweir.transport.http.ClientResult
import lacewingweir.transport.http.HttpClient
import lacewingweir.transport.http.ReadResult
import lacewingweir.transport.http.ServerExchange
import lacewingweir.transport.http.readAll

private val logger = KotlinLogging.logger {}

/**
 * What the instance that passes a call on has decided and done.
 *
 * @property service the service whose endpoints are to answer the call
 * @property possibleRuns the number of sends after which the call may have been executed
 * @property receivedBy the endpoints that have received the call
 */
internal data class PassOrigin(
    val service: ServiceName,
    val possibleRuns: Int = 0,
    val receivedBy: Set<EndpointTag> = emptySet(),
)

/** A call that is passed on to an instance, which has [remainingMillis] to answer it. */
internal class PassedCall(
    val call: InboundCall,
    val origin: PassOrigin,
    val remainingMillis: Long,
    val freshConnection: Boolean,
)

/** Encodes calls that are passed on, and decodes the headers of their responses. */
internal interface PassProtocol {
    fun encodeRequest(
        passed: PassedCall,
        received: ServerExchange,
        peer: PeerEntry,
    ): ClientRequest

    /** Returns the headers of [response] that the caller receives. */
    fun callerHeaders(response: ClientResponse): List<Pair<String, String>>

    fun isEventStream(response: ClientResponse): Boolean
}

/** The result of passing a call on to one instance. */
internal sealed interface PassOutcome {
    /** The caller has received the response or what there was of it. */
    data object Answered : PassOutcome

    data class NotSent(
        val reason: String,
    ) : PassOutcome

    /** The instance may have sent the call to an endpoint. The caller has received nothing. */
    data class Unknown(
        val reason: String,
    ) : PassOutcome
}

/** Passes calls on to the instances that [targets] chooses. */
internal class CallPasser(
    private val http: HttpClient,
    private val protocol: PassProtocol,
    private val reach: ReachMonitor,
    private val targets: PassTargets,
    private val bufferedBodies: BufferBudget = BufferBudget(MAX_BUFFERED_BYTES),
) {
    /** Returns whether the call can't be sent to an endpoint of [service] from here, but may be passed on. */
    fun applies(
        state: CallState,
        service: ServiceName,
    ): Boolean = state.passOrigin == null && !state.onTrial && !state.progress.started && reach.isCutOff(service)

    /** Passes the call on to one instance that can be reached. */
    suspend fun pass(
        state: CallState,
        service: ServiceName,
        repeatable: Boolean,
    ): PassOutcome {
        val origin = PassOrigin(service, state.possibleRuns, state.receivedBy)
        while (state.triedInstances.size < MAX_INSTANCES) {
            val remaining = state.remainingMillis - TRANSIT_MILLIS
            val peer = if (remaining < MIN_PASS_MILLIS) null else targets.choose(service, state.triedInstances)
            if (peer == null) break
            state.triedInstances += peer.name
            val outcome = passTo(peer, PassedCall(state.call, origin, remaining, !repeatable), state)
            if (outcome !is PassOutcome.NotSent) return outcome
            logger.info { "relay: id=${state.call.id} not passed to=${peer.name}: ${outcome.reason}" }
        }
        return PassOutcome.NotSent("no instance takes the call")
    }

    private suspend fun passTo(
        peer: PeerEntry,
        passed: PassedCall,
        state: CallState,
    ): PassOutcome {
        targets.onBegin(peer)
        try {
            return when (val result = http.open(protocol.encodeRequest(passed, state.exchange, peer))) {
                is ClientResult.NotSent -> PassOutcome.NotSent(result.reason)
                is ClientResult.Unknown -> PassOutcome.Unknown(result.reason)
                is ClientResult.Answered ->
                    try {
                        relay(result.response, peer, state)
                    } finally {
                        result.response.close()
                    }
            }
        } finally {
            targets.onEnd(peer)
        }
    }

    private suspend fun relay(
        response: ClientResponse,
        peer: PeerEntry,
        state: CallState,
    ): PassOutcome {
        val outcome =
            if (response.status in SUCCESSES && protocol.isEventStream(response)) {
                relayStream(response, state.exchange)
            } else {
                relayComplete(response, state.exchange)
            }
        if (outcome == PassOutcome.Answered) state.log("answered status=${response.status} through=${peer.name}")
        return outcome
    }

    private suspend fun relayComplete(
        response: ClientResponse,
        exchange: ServerExchange,
    ): PassOutcome =
        bufferedBodies.reserve().use { buffered ->
            val body =
                response.readAll(MAX_RESPONSE_BYTES, BODY_IDLE_TIMEOUT_MILLIS, buffered::tryAdd)
                    ?: return PassOutcome.Unknown("incomplete or too large response")
            exchange.respond(response.status, protocol.callerHeaders(response), body)
            PassOutcome.Answered
        }

    private suspend fun relayStream(
        response: ClientResponse,
        exchange: ServerExchange,
    ): PassOutcome {
        while (true) {
            when (val part = response.read(BODY_IDLE_TIMEOUT_MILLIS)) {
                is ReadResult.Data -> {
                    if (!exchange.responseStarted) {
                        exchange.startStream(response.status, protocol.callerHeaders(response))
                    }
                    exchange.write(part.bytes)
                }
                ReadResult.End -> {
                    if (!exchange.responseStarted) return PassOutcome.Unknown("a stream without events")
                    exchange.finish()
                    return PassOutcome.Answered
                }
                is ReadResult.Broken -> {
                    if (!exchange.responseStarted) return PassOutcome.Unknown(part.reason)
                    exchange.abort()
                    return PassOutcome.Answered
                }
            }
        }
    }

    private companion object {
        /** The most instances that one instance tries to pass a call on to. */
        const val MAX_INSTANCES: Int = 3

        /** Time for the response to come back before the caller's deadline. */
        const val TRANSIT_MILLIS: Long = 20
        const val MIN_PASS_MILLIS: Long = 20
        const val MAX_RESPONSE_BYTES: Int = 8 * 1024 * 1024

        /** Bytes of all responses that are buffered at the same time. */
        const val MAX_BUFFERED_BYTES: Long = 16L * 1024 * 1024
        const val BODY_IDLE_TIMEOUT_MILLIS: Long = 60_000
        val SUCCESSES = 200..299
    }
}

/** The exchange of a call that another instance passes on. Its response names the call by its [id]. */
internal class PassedExchange(
    private val exchange: ServerExchange,
    id: RequestId,
) : ServerExchange by exchange {
    private val header = PASSED_CALL_HEADER to id.value

    override suspend fun respond(
        status: Int,
        headers: List<Pair<String, String>>,
        body: ByteArray,
    ) = exchange.respond(status, headers + header, body)

    override suspend fun startStream(
        status: Int,
        headers: List<Pair<String, String>>,
    ) = exchange.startStream(status, headers + header)

    internal companion object {
        /** Names the call that a response of one instance to another answers. */
        const val PASSED_CALL_HEADER: String = "X-Lacewingweir-Passed-Call"

        /** Names the service that the passing instance has chosen for a call. */
        const val PASSED_SERVICE_HEADER: String = "X-Lacewingweir-Passed-Service"

        /** Number of sends of the passing instance after which the call may have been executed. */
        const val PASSED_RUNS_HEADER: String = "X-Lacewingweir-Passed-Runs"

        /** The endpoints that have received the call from the passing instance. */
        const val PASSED_RECEIVERS_HEADER: String = "X-Lacewingweir-Passed-Receivers"

        /** Headers that a caller can't set. */
        val requestHeaders: Set<String> =
            setOf(
                PASSED_SERVICE_HEADER,
                PASSED_RUNS_HEADER,
                PASSED_RECEIVERS_HEADER,
            ).mapTo(HashSet()) { it.lowercase() }
    }
}
