package lacewingweir.transport.relay

import io.github.oshai.kotlinlogging.KotlinLogging
import lacewingweir.coordination.placement.EndpointReservation
import lacewingweir.coordination.placement.ReservationOutcome
import lacewingweir.coordination.stream.StreamVersions
import lacewingweir.state.fleet.EndpointEntry
import lacewingweir.state.fleet.EndpointStatement
import lacewingweir.state.id.ServiceName
import lacewingweir.state.stream.StreamOrigin
import lacewingweir.transport.http.BufferBudget
import lacewingweir.transport.http.ClientResponse
import lacewingweir.transport.http.ClientResult
import lacewingweir.transport.http.HttpClient
import lacewingweir.transport.http.ReadResult
import lacewingweir.transport.http.ServerExchange
import lacewingweir.transport.http.readAll

private val logger = KotlinLogging.logger {}

/**
 * Sends calls to endpoints and relays their responses to the callers.
 *
 * [onStatement] is called with what an endpoint says about itself before its response is passed on, and [onReceived]
 * for each part of a response.
 */
internal class EndpointSender(
    private val http: HttpClient,
    private val protocol: EndpointProtocol,
    private val handovers: RunHandovers,
    private val streamVersions: StreamVersions,
    private val bufferedBodies: BufferBudget = BufferBudget(MAX_BUFFERED_BYTES),
    private val onReceived: (ServiceName) -> Unit = {},
    private val onStatement: (EndpointEntry, EndpointStatement) -> Unit,
) {
    /** Sends the call once. Ends [reservation] in any case. */
    suspend fun send(
        outbound: OutboundCall,
        reservation: EndpointReservation,
        exchange: ServerExchange,
        progress: StreamProgress,
    ): SendOutcome {
        var outcome: SendOutcome? = null
        try {
            // A run that is continued has begun before, and a call without a prompt depends on no weights.
            val unbounded = outbound.call.prompt == null || outbound.cacheCopy != null
            outcome =
                if (unbounded) {
                    sendAndRelay(outbound, reservation, exchange, progress)
                } else {
                    withdrawUnlessBegun(outbound.call.id, reservation) {
                        sendAndRelay(outbound, reservation, exchange, progress)
                    }
                }
            return outcome
        } finally {
            // If there is no outcome, the send was cancelled, which says nothing about the endpoint.
            reservation.end(outcome?.let(::reservationOutcome) ?: ReservationOutcome.NOT_COUNTED)
        }
    }

    private fun reservationOutcome(outcome: SendOutcome) =
        when (outcome) {
            is SendOutcome.Delivered, is SendOutcome.HandedOver -> ReservationOutcome.SERVED
            is SendOutcome.NotRun -> if (outcome.refused) ReservationOutcome.REFUSED else ReservationOutcome.UNREACHABLE
            is SendOutcome.ErrorResponse, is SendOutcome.Broken -> ReservationOutcome.FAILED
            SendOutcome.Withdrawn -> ReservationOutcome.NOT_COUNTED
        }

    private suspend fun sendAndRelay(
        outbound: OutboundCall,
        reservation: EndpointReservation,
        exchange: ServerExchange,
        progress: StreamProgress,
    ): SendOutcome =
        when (val result = http.open(protocol.encodeRequest(outbound))) {
            is ClientResult.Answered ->
                try {
                    relay(outbound, result.response, reservation, exchange, progress)
                } finally {
                    // Closing the connection stops the run. It has no effect on a response that was read to its end.
                    result.response.close()
                }
            is ClientResult.NotSent -> SendOutcome.NotRun("not sent: ${result.reason}", refused = false)
            is ClientResult.Unknown -> SendOutcome.Broken(result.reason, givenUp = result.timedOut)
        }

    private suspend fun relay(
        outbound: OutboundCall,
        response: ClientResponse,
        reservation: EndpointReservation,
        exchange: ServerExchange,
        progress: StreamProgress,
    ): SendOutcome {
        onReceived(outbound.endpoint.service)
        outbound.onResponse()
        val head = protocol.decodeHead(outbound.call, response)
        if (head.statement != EndpointStatement.NONE) onStatement(outbound.endpoint, head.statement)
        head.weights?.let(reservation::recordWeights)
        if (head.matchesRequest) reservation.recordRequestLimit(head.requestLimit)
        if (head.notRun && head.matchesRequest) {
            // A second response may follow a refusal that broke off, and the call may have run.
            response.readAll(MAX_REFUSAL_BYTES) ?: return brokenAfterHead("incomplete or too large refusal")
            return SendOutcome.NotRun("status ${head.status}", refused = true)
        }
        rejectionReason(head, progress)?.let { return brokenAfterHead(it) }
        return if (head.success && head.eventStream) {
            relayEvents(outbound, response, head, reservation, exchange, progress)
        } else {
            relayComplete(outbound, response, head, reservation, exchange)
        }
    }

    /** Returns why the response with this [head] can't be passed on to the caller, or null if it may be. */
    private fun rejectionReason(
        head: ResponseHead,
        progress: StreamProgress,
    ): String? =
        when {
            head.notRun -> "a refusal names another request or none"
            !isEndpointResponse(head) -> "response is not the endpoint's own"
            head.success && !head.eventStream && progress.started -> "a stream is continued without events"
            else -> null
        }

    /** Records the first event of an answer. Returns false if the call was withdrawn before. */
    private fun recordEvent(
        outbound: OutboundCall,
        reservation: EndpointReservation,
        complete: Boolean = false,
    ): Boolean {
        if (reservation.onFirstEvent(complete)) {
            outbound.onFirstEvent()
            logBegin(outbound, reservation)
        }
        return !reservation.isWithdrawn
    }

    private fun logBegin(
        outbound: OutboundCall,
        reservation: EndpointReservation,
    ) {
        val outdatedMillis = reservation.outdatedMillis
        if (outdatedMillis == 0L) return
        logger.info {
            "relay: id=${outbound.call.id} begun on outdated weights at=${outbound.endpoint.id} " +
                "weights=${reservation.weights} outdatedMs=$outdatedMillis continues=${outbound.cacheCopy?.handle}"
        }
    }

    private fun brokenAfterHead(reason: String) = SendOutcome.Broken(reason, ReceivedPart.HEAD)

    /**
     * Returns whether the response may be passed on to the caller.
     *
     * A status that guarantees that the call was not executed must not reach the caller unless the endpoint itself
     * states it.
     */
    private fun isEndpointResponse(head: ResponseHead): Boolean =
        head.matchesRequest && !head.contentEncoded && head.status !in NOT_RUN_STATUSES

    private suspend fun relayComplete(
        outbound: OutboundCall,
        response: ClientResponse,
        head: ResponseHead,
        reservation: EndpointReservation,
        exchange: ServerExchange,
    ): SendOutcome {
        bufferedBodies.reserve().use { buffered ->
            val body =
                response.readAll(MAX_RESPONSE_BYTES, BODY_IDLE_TIMEOUT_MILLIS, buffered::tryAdd)
                    ?: return brokenAfterHead("incomplete or too large response")
            if (!head.success) return SendOutcome.ErrorResponse(head, body)
            if (!recordEvent(outbound, reservation, complete = true)) return SendOutcome.Withdrawn
            exchange.respond(head.status, head.headers, body)
            return SendOutcome.Delivered(head.status)
        }
    }

    private suspend fun relayEvents(
        outbound: OutboundCall,
        response: ClientResponse,
        head: ResponseHead,
        reservation: EndpointReservation,
        exchange: ServerExchange,
        progress: StreamProgress,
    ): SendOutcome {
        val tracking = HandoverTracking(outbound, reservation)
        try {
            val outcome = forwardEvents(response, head, tracking, progress)
            // The end of the connection may also be that of a stopped run.
            val complete = outcome is SendOutcome.Delivered && !response.endsWithConnection
            tracking.continuation(complete)?.let { return SendOutcome.HandedOver(it) }
            if (outcome is SendOutcome.Delivered) exchange.finish()
            return outcome
        } finally {
            tracking.stop()
        }
    }

    /** Registers the stream of one send for handover from its first event on. */
    private inner class HandoverTracking(
        private val outbound: OutboundCall,
        private val reservation: EndpointReservation,
    ) {
        private var stream: RunningStream? = null
        private var takenOver = false

        /** Returns false if the call was withdrawn, so that its events must not be forwarded. */
        fun onEvent(progress: StreamProgress): Boolean {
            onReceived(outbound.endpoint.service)
            if (!recordEvent(outbound, reservation)) return false
            if (progress.origin == null) {
                val endpoint = outbound.endpoint
                progress.origin = StreamOrigin(endpoint.service, endpoint.software)
                streamVersions.onBegun(outbound.call.id, endpoint)
            }
            if (stream == null) stream = handovers.track(outbound.call, reservation)
            return true
        }

        suspend fun continuation(complete: Boolean): HandedOverRun? =
            handovers.continuation(stream, complete)?.also { takenOver = true }

        fun stop() {
            stream?.let { handovers.untrack(it, takenOver) }
        }
    }

    private suspend fun forwardEvents(
        response: ClientResponse,
        head: ResponseHead,
        tracking: HandoverTracking,
        progress: StreamProgress,
    ): SendOutcome {
        val framer = SseFramer()
        val resumedAfter = progress.lastId
        var received = ReceivedPart.HEAD
        while (true) {
            when (val part = response.read(BODY_IDLE_TIMEOUT_MILLIS)) {
                is ReadResult.Data -> {
                    val events = framer.feed(part.bytes)
                    violation(framer, events, resumedAfter)?.let { return SendOutcome.Broken(it, received) }
                    if (events.isEmpty()) continue
                    received = ReceivedPart.EVENTS
                    if (!tracking.onEvent(progress)) return SendOutcome.Withdrawn
                    progress.forward(head, events, framer.lastId)
                }
                ReadResult.End -> {
                    // A lost connection also ends a stream without framing, which is noticed only inside an event.
                    val hasAnswer =
                        progress.started && (received == ReceivedPart.EVENTS || !response.endsWithConnection)
                    return if (hasAnswer && !framer.hasPartialEvent) {
                        SendOutcome.Delivered(head.status)
                    } else {
                        SendOutcome.Broken("stream ended before or within an event", received)
                    }
                }
                is ReadResult.Broken ->
                    return SendOutcome.Broken("stream broken: ${part.reason}", received, stalled = part.timedOut)
            }
        }
    }

    /** Returns why the stream is not a valid answer, or null if it may be one. */
    private fun violation(
        framer: SseFramer,
        events: ByteArray,
        resumedAfter: String?,
    ): String? =
        when {
            framer.exceedsLimit -> "stream goes on without an event id"
            framer.repeatsEvents -> "stream repeats events before ${framer.lastId}"
            events.isNotEmpty() && !startsAfter(resumedAfter, framer.firstId) ->
                "resumed stream repeats event ${framer.firstId}"
            else -> null
        }

    private fun startsAfter(
        resumedAfter: String?,
        firstId: String?,
    ): Boolean {
        val last = resumedAfter?.toLongOrNull() ?: return true
        val first = firstId?.toLongOrNull() ?: return false
        return first > last
    }

    private companion object {
        val NOT_RUN_STATUSES: Set<Int> = setOf(408, 421, 429, 503)
        const val MAX_REFUSAL_BYTES: Int = 64 * 1024
        const val MAX_RESPONSE_BYTES: Int = 8 * 1024 * 1024

        /** Bytes of all responses that are buffered at the same time; a sixth of the heap of an instance. */
        const val MAX_BUFFERED_BYTES: Long = 16L * 1024 * 1024

        /** Longest time without new data. A stalled response normally ends earlier, at the deadline of the call. */
        const val BODY_IDLE_TIMEOUT_MILLIS: Long = 60_000
    }
}
