/** Sends a call to one endpoint and brings its answer to the caller. */
package lacewingweir.transport.relay

import lacewingweir.coordination.placement.EndpointReservation
import lacewingweir.coordination.placement.ReservationOutcome
import lacewingweir.transport.http.ClientResponse
import lacewingweir.transport.http.ClientResult
import lacewingweir.transport.http.HttpClient
import lacewingweir.transport.http.ReadResult
import lacewingweir.transport.http.ServerExchange
import lacewingweir.transport.http.readAll

internal class EndpointSender(
    private val http: HttpClient,
    private val protocol: EndpointProtocol,
    private val handovers: RunHandovers,
) {
    /** Sends once. The booking is ended in every case. */
    suspend fun send(
        send: OutboundCall,
        reservation: EndpointReservation,
        exchange: ServerExchange,
        progress: StreamProgress,
    ): SendOutcome {
        var outcome: SendOutcome? = null
        try {
            outcome = attempt(send, reservation, exchange, progress)
            return outcome
        } finally {
            // Without an outcome the caller left, which says nothing of the endpoint.
            reservation.end(outcome?.let(::verdict) ?: ReservationOutcome.NOT_COUNTED)
        }
    }

    private fun verdict(outcome: SendOutcome) =
        when (outcome) {
            is SendOutcome.Delivered, is SendOutcome.Moved -> ReservationOutcome.SERVED
            is SendOutcome.NotRun -> if (outcome.refused) ReservationOutcome.REFUSED else ReservationOutcome.UNREACHABLE
            is SendOutcome.ErrorAnswer, is SendOutcome.Broken -> ReservationOutcome.FAILED
        }

    private suspend fun attempt(
        send: OutboundCall,
        reservation: EndpointReservation,
        exchange: ServerExchange,
        progress: StreamProgress,
    ): SendOutcome =
        when (val result = http.open(protocol.request(send))) {
            is ClientResult.Answered -> relay(send, result.response, reservation, exchange, progress)
            is ClientResult.NotSent -> SendOutcome.NotRun("not sent: ${result.reason}", refused = false)
            is ClientResult.Unknown -> SendOutcome.Broken(result.reason)
        }

    private suspend fun relay(
        send: OutboundCall,
        response: ClientResponse,
        reservation: EndpointReservation,
        exchange: ServerExchange,
        progress: StreamProgress,
    ): SendOutcome {
        val head = protocol.head(send.call, response)
        head.weights?.let(reservation::recordWeights)
        if (head.notRun) {
            response.readAll(MAX_REFUSAL_BYTES)
            return SendOutcome.NotRun("status ${head.status}", refused = true)
        }
        if (!genuine(head)) {
            response.close()
            return SendOutcome.Broken("not the endpoint's own answer")
        }
        return if (head.success && head.eventStream) {
            relayEvents(send, response, head, reservation, exchange, progress)
        } else {
            relayWhole(response, head, reservation, exchange)
        }
    }

    /** A status that promises "not run" must not reach the caller unless the endpoint says so itself. */
    private fun genuine(head: AnswerHead): Boolean {
        val answersIt = head.matchesRequest || !head.success
        return answersIt && !head.contentEncoded && head.status !in NOT_RUN_STATUS
    }

    private suspend fun relayWhole(
        response: ClientResponse,
        head: AnswerHead,
        reservation: EndpointReservation,
        exchange: ServerExchange,
    ): SendOutcome {
        val body = response.readAll(MAX_ANSWER_BYTES, BODY_SILENCE_MILLIS) ?: return SendOutcome.Broken("answer cut")
        if (!head.success) return SendOutcome.ErrorAnswer(head, body)
        reservation.onFirstEvent()
        exchange.respond(head.status, head.headers, body)
        return SendOutcome.Delivered(head.status)
    }

    private suspend fun relayEvents(
        send: OutboundCall,
        response: ClientResponse,
        head: AnswerHead,
        reservation: EndpointReservation,
        exchange: ServerExchange,
        progress: StreamProgress,
    ): SendOutcome {
        val following = Following(send, reservation)
        try {
            val outcome = forwardEvents(response, head, following, progress)
            following.continuation()?.let { return SendOutcome.Moved(it) }
            if (outcome is SendOutcome.Delivered) exchange.finish()
            return outcome
        } finally {
            following.stop()
        }
    }

    /** Follows the run of one send for a handover, from its first event on. */
    private inner class Following(
        private val send: OutboundCall,
        private val reservation: EndpointReservation,
    ) {
        private var stream: RunningStream? = null
        private var takenOver = false

        fun onEvent() {
            reservation.onFirstEvent()
            if (stream == null) stream = handovers.track(send.call, reservation)
        }

        suspend fun continuation(): MovedRun? = handovers.continuation(stream)?.also { takenOver = true }

        fun stop() {
            stream?.let { handovers.untrack(it, takenOver) }
        }
    }

    private suspend fun forwardEvents(
        response: ClientResponse,
        head: AnswerHead,
        following: Following,
        progress: StreamProgress,
    ): SendOutcome {
        val blocks = SseFramer()
        val resumedAfter = progress.lastId
        while (true) {
            when (val part = response.read(BODY_SILENCE_MILLIS)) {
                is ReadResult.Data -> {
                    val events = blocks.feed(part.bytes)
                    if (events.isEmpty()) continue
                    following.onEvent()
                    if (!continues(resumedAfter, blocks.firstId)) {
                        response.close()
                        return SendOutcome.Broken("resumed stream repeats event ${blocks.firstId}")
                    }
                    progress.forward(head, events, blocks.lastId)
                }
                ReadResult.End -> {
                    if (blocks.hasPartialEvent ||
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

    private fun continues(
        after: String?,
        firstId: String?,
    ): Boolean {
        val last = after?.toLongOrNull() ?: return true
        val first = firstId?.toLongOrNull() ?: return false
        return first > last
    }

    private companion object {
        val NOT_RUN_STATUS: Set<Int> = setOf(408, 421, 429, 503)
        const val MAX_REFUSAL_BYTES: Int = 64 * 1024
        const val MAX_ANSWER_BYTES: Int = 8 * 1024 * 1024

        /** The call's own deadline ends a silent answer; this only bounds a forgotten one. */
        const val BODY_SILENCE_MILLIS: Long = 60_000
    }
}
