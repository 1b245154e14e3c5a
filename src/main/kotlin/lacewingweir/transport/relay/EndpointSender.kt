package lacewingweir.transport.relay

import lacewingweir.coordination.placement.EndpointReservation
import lacewingweir.coordination.placement.ReservationOutcome
import lacewingweir.transport.http.ClientResponse
import lacewingweir.transport.http.ClientResult
import lacewingweir.transport.http.HttpClient
import lacewingweir.transport.http.ReadResult
import lacewingweir.transport.http.ServerExchange
import lacewingweir.transport.http.readAll

/** Sends calls to endpoints and relays their answers to the callers. */
internal class EndpointSender(
    private val http: HttpClient,
    private val protocol: EndpointProtocol,
    private val handovers: RunHandovers,
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
            outcome = sendAndRelay(outbound, reservation, exchange, progress)
            return outcome
        } finally {
            // If there is no outcome, the send was cancelled, which says nothing about the endpoint.
            reservation.end(outcome?.let(::reservationOutcome) ?: ReservationOutcome.NOT_COUNTED)
        }
    }

    private fun reservationOutcome(outcome: SendOutcome) =
        when (outcome) {
            is SendOutcome.Delivered, is SendOutcome.Moved -> ReservationOutcome.SERVED
            is SendOutcome.NotRun -> if (outcome.refused) ReservationOutcome.REFUSED else ReservationOutcome.UNREACHABLE
            is SendOutcome.ErrorAnswer, is SendOutcome.Broken -> ReservationOutcome.FAILED
        }

    private suspend fun sendAndRelay(
        outbound: OutboundCall,
        reservation: EndpointReservation,
        exchange: ServerExchange,
        progress: StreamProgress,
    ): SendOutcome =
        when (val result = http.open(protocol.request(outbound))) {
            is ClientResult.Answered -> relay(outbound, result.response, reservation, exchange, progress)
            is ClientResult.NotSent -> SendOutcome.NotRun("not sent: ${result.reason}", refused = false)
            is ClientResult.Unknown -> SendOutcome.Broken(result.reason)
        }

    private suspend fun relay(
        outbound: OutboundCall,
        response: ClientResponse,
        reservation: EndpointReservation,
        exchange: ServerExchange,
        progress: StreamProgress,
    ): SendOutcome {
        val head = protocol.head(outbound.call, response)
        head.weights?.let(reservation::recordWeights)
        if (head.notRun) {
            response.readAll(MAX_REFUSAL_BYTES)
            return SendOutcome.NotRun("status ${head.status}", refused = true)
        }
        if (!isEndpointAnswer(head)) {
            response.close()
            return SendOutcome.Broken("not the endpoint's own answer")
        }
        return if (head.success && head.eventStream) {
            relayEvents(outbound, response, head, reservation, exchange, progress)
        } else {
            relayWhole(response, head, reservation, exchange)
        }
    }

    /**
     * Returns whether the answer may be passed on to the caller.
     *
     * A status that guarantees that the call was not executed must not reach the caller unless the endpoint itself
     * states it.
     */
    private fun isEndpointAnswer(head: AnswerHead): Boolean {
        val answersCall = head.matchesRequest || !head.success
        return answersCall && !head.contentEncoded && head.status !in NOT_RUN_STATUSES
    }

    private suspend fun relayWhole(
        response: ClientResponse,
        head: AnswerHead,
        reservation: EndpointReservation,
        exchange: ServerExchange,
    ): SendOutcome {
        val body =
            response.readAll(MAX_ANSWER_BYTES, BODY_IDLE_TIMEOUT_MILLIS) ?: return SendOutcome.Broken("answer cut")
        if (!head.success) return SendOutcome.ErrorAnswer(head, body)
        reservation.onFirstEvent()
        exchange.respond(head.status, head.headers, body)
        return SendOutcome.Delivered(head.status)
    }

    private suspend fun relayEvents(
        outbound: OutboundCall,
        response: ClientResponse,
        head: AnswerHead,
        reservation: EndpointReservation,
        exchange: ServerExchange,
        progress: StreamProgress,
    ): SendOutcome {
        val tracking = HandoverTracking(outbound, reservation)
        try {
            val outcome = forwardEvents(response, head, tracking, progress)
            tracking.continuation()?.let { return SendOutcome.Moved(it) }
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

        fun onEvent() {
            reservation.onFirstEvent()
            if (stream == null) stream = handovers.track(outbound.call, reservation)
        }

        suspend fun continuation(): MovedRun? = handovers.continuation(stream)?.also { takenOver = true }

        fun stop() {
            stream?.let { handovers.untrack(it, takenOver) }
        }
    }

    private suspend fun forwardEvents(
        response: ClientResponse,
        head: AnswerHead,
        tracking: HandoverTracking,
        progress: StreamProgress,
    ): SendOutcome {
        val framer = SseFramer()
        val resumedAfter = progress.lastId
        while (true) {
            when (val part = response.read(BODY_IDLE_TIMEOUT_MILLIS)) {
                is ReadResult.Data -> {
                    val events = framer.feed(part.bytes)
                    if (events.isEmpty()) continue
                    tracking.onEvent()
                    if (!startsAfter(resumedAfter, framer.firstId)) {
                        response.close()
                        return SendOutcome.Broken("resumed stream repeats event ${framer.firstId}")
                    }
                    progress.forward(head, events, framer.lastId)
                }
                ReadResult.End -> {
                    if (framer.hasPartialEvent ||
                        !progress.started
                    ) {
                        return SendOutcome.Broken("stream ended within an event")
                    }
                    return SendOutcome.Delivered(head.status)
                }
                is ReadResult.Broken -> return SendOutcome.Broken("stream cut: ${part.reason}")
            }
        }
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
        const val MAX_ANSWER_BYTES: Int = 8 * 1024 * 1024

        /** A silent answer normally ends at the deadline of the call. This limit applies to calls that miss theirs. */
        const val BODY_IDLE_TIMEOUT_MILLIS: Long = 60_000
    }
}
