package lacewingweir.transport.gateway

import lacewingweir.coordination.rate.RateAdmission
import lacewingweir.coordination.rate.Reservation
import lacewingweir.coordination.rate.ReserveResult
import lacewingweir.protocol.openai.ChatRequest
import lacewingweir.protocol.openai.ChatRequestResult
import lacewingweir.protocol.resume.ResumeTokenCodec
import lacewingweir.protocol.resume.ResumeTokenResult
import lacewingweir.protocol.resume.StreamIdentity
import lacewingweir.protocol.resume.StreamPosition
import lacewingweir.state.id.CustomerId
import lacewingweir.state.id.KeyDigest
import lacewingweir.state.id.WeightsVersion
import java.security.MessageDigest

/** Serves `POST /v1/chat/completions`. */
internal class ChatHandler(
    private val authenticator: Authenticator,
    private val rates: RateAdmission,
    private val relay: EngineRelay,
    private val resumeTokenCodec: ResumeTokenCodec,
    private val metrics: GatewayMetrics,
    private val settings: GatewaySettings,
) {
    private class Admitted(
        val customer: CustomerId,
        val chat: ChatRequest,
        val target: RouteTable.ModelRoute,
        val identityOf: (WeightsVersion) -> StreamIdentity,
        val start: StreamPosition,
    ) {
        val promptTokens: Long = chat.promptTokensUpperBound(target.model.bytesPerToken)
        val maxAnswerTokens: Long = chat.maxAnswerTokens ?: target.model.maxAnswerTokens.toLong()
    }

    private sealed interface Check {
        class Passed(
            val admitted: Admitted,
        ) : Check

        class Failed(
            val refusal: Refusal,
        ) : Check
    }

    suspend fun handle(context: RequestContext) {
        val found = CallerKey.find(context.exchange.headers)
        when (val identity = authenticator.authenticate(found, context.bundle)) {
            is Authenticator.Result.Refused -> context.refuse(identity.refusal)
            is Authenticator.Result.Accepted -> {
                context.identified(identity.customer.id)
                when (val check = check(context, identity.customer.id, found)) {
                    is Check.Failed -> context.refuse(check.refusal)
                    is Check.Passed -> serve(context, identity.digest, check.admitted)
                }
            }
        }
    }

    private fun check(
        context: RequestContext,
        customer: CustomerId,
        found: CallerKey.Found,
    ): Check {
        val body = context.exchange.body
        if (found.keys.any { it.occursIn(body) }) {
            return Check.Failed(Refusal.badRequest("key_in_body", "The request body contains the caller's key."))
        }
        return when (val parsed = ChatRequest.parse(body, settings.json)) {
            is ChatRequestResult.Invalid -> Check.Failed(invalid(parsed))
            is ChatRequestResult.Parsed -> {
                val target = context.table.model(parsed.request.model)
                if (target == null) {
                    Check.Failed(Refusal.notFound("model_not_found", "model: no such model or route", "model"))
                } else {
                    position(context, customer, parsed.request, target)
                }
            }
        }
    }

    private fun invalid(parsed: ChatRequestResult.Invalid): Refusal =
        if (parsed.tooLarge) {
            Refusal.tooLarge(parsed.message)
        } else {
            Refusal.badRequest("invalid_request", parsed.message, parsed.field)
        }

    private fun position(
        context: RequestContext,
        customer: CustomerId,
        chat: ChatRequest,
        target: RouteTable.ModelRoute,
    ): Check {
        context.matched(target.route)
        val digest = MessageDigest.getInstance("SHA-256").digest(context.exchange.body)
        val identityOf = { weights: WeightsVersion -> StreamIdentity(customer, target.model.name, weights, digest) }
        val fresh = StreamPosition(context.requestId, 0, StreamPosition.Phase.CONTENT)
        val token = context.exchange.headers.get("Last-Event-ID")
        if (token.isNullOrEmpty()) return Check.Passed(Admitted(customer, chat, target, identityOf, fresh))
        if (!chat.stream) return Check.Failed(resumeRefusal("can only be used with stream set to true"))
        return when (val checked = resumeTokenCodec.check(token, identityOf(target.model.weights))) {
            ResumeTokenResult.Invalid -> Check.Failed(resumeRefusal("is not a token of this fleet"))
            ResumeTokenResult.Expired -> Check.Failed(resumeRefusal("has expired"))
            is ResumeTokenResult.Mismatch -> Check.Failed(resumeRefusal("belongs to another ${checked.part}"))
            is ResumeTokenResult.Valid -> {
                val at = checked.position
                context.trace.step("resume", "stream ${at.requestId} at index ${at.nextIndex}, ${at.phase}")
                metrics.resumed("caller")
                Check.Passed(Admitted(customer, chat, target, identityOf, at))
            }
        }
    }

    private fun resumeRefusal(problem: String): Refusal =
        Refusal.badRequest("invalid_resume_token", "Last-Event-ID: the token $problem.", "Last-Event-ID")

    private suspend fun serve(
        context: RequestContext,
        digest: KeyDigest,
        admitted: Admitted,
    ) {
        val stream =
            if (admitted.chat.stream) {
                StreamSink(context.answer, resumeTokenCodec, admitted.identityOf, admitted.start, admitted.chat.includeUsage)
            } else {
                null
            }
        val stop =
            authenticator.guarded(context, digest) {
                if (isOver(admitted)) {
                    finishEarly(context, admitted, checkNotNull(stream))
                } else {
                    reserve(context, admitted, stream)
                }
            }
        if (stop != null) stopped(context, stop, digest, stream)
    }

    /** Whether the caller already has everything but the end of the stream. */
    private fun isOver(admitted: Admitted): Boolean =
        admitted.start.phase == StreamPosition.Phase.USAGE_SENT ||
            admitted.start.phase == StreamPosition.Phase.FINISHED &&
            !admitted.chat.includeUsage

    private suspend fun finishEarly(
        context: RequestContext,
        admitted: Admitted,
        stream: StreamSink,
    ) {
        stream.begin(admitted.target.model.weights)
        stream.done()
        context.ended("completed", "the caller had the whole answer already")
    }

    private suspend fun reserve(
        context: RequestContext,
        admitted: Admitted,
        stream: StreamSink?,
    ) {
        val remaining = (admitted.maxAnswerTokens - admitted.start.nextIndex).coerceAtLeast(0)
        when (val reserved = rates.reserve(admitted.customer, admitted.promptTokens + remaining)) {
            is ReserveResult.Refused -> {
                context.trace.step("rate refused", reserved.reason)
                context.refuse(Refusal.overRate("The customer's rate is used up.", reserved.retryAfterMillis))
            }
            is ReserveResult.Reserved -> {
                context.trace.step("rate", "reserved ${admitted.promptTokens} + $remaining tokens")
                reserved.reservation.use { relay(context, admitted, stream, it) }
            }
        }
    }

    private suspend fun relay(
        context: RequestContext,
        admitted: Admitted,
        stream: StreamSink?,
        reservation: Reservation,
    ) {
        val call =
            ChatCall(
                context = context,
                customer = admitted.customer,
                route = admitted.target.route,
                model = admitted.target.model,
                chat = admitted.chat,
                sink = stream ?: WholeSink(context.answer, settings.maxAnswerBytes),
                start = admitted.start,
                promptTokens = admitted.promptTokens,
                maxAnswerTokens = admitted.maxAnswerTokens,
                reservation = reservation,
            )
        when (val result = relay.run(call)) {
            EngineRelay.Result.Completed -> context.ended("completed", "${call.nextIndex} chunks")
            is EngineRelay.Result.GaveUp -> giveUp(context, result.refusal, stream)
        }
    }

    private suspend fun giveUp(
        context: RequestContext,
        refusal: Refusal,
        stream: StreamSink?,
    ) {
        if (stream == null || !context.answer.started) {
            context.refuse(refusal)
            return
        }
        context.ended("broken ${refusal.error.code}", refusal.error.message)
        context.answer.failStream(refusal.error, stream.token)
    }

    private suspend fun stopped(
        context: RequestContext,
        stop: StopReason,
        digest: KeyDigest,
        stream: StreamSink?,
    ) {
        metrics.stopped(stop)
        when {
            // The whole answer was sent before the work could be cancelled.
            context.answer.isEnded -> context.ended("completed", "stopped after the answer's end")
            stop == StopReason.DISCONNECTED -> context.ended("disconnected", "the caller left")
            else -> giveUp(context, authenticator.withdrawn(digest), stream)
        }
    }
}
