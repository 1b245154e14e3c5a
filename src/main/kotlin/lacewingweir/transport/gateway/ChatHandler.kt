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

/** Handles `POST /v1/chat/completions`. */
internal class ChatHandler(
    private val authenticator: Authenticator,
    private val rates: RateAdmission,
    private val relay: CompletionRelay,
    private val resumeTokenCodec: ResumeTokenCodec,
    private val metrics: GatewayMetrics,
    private val settings: GatewaySettings,
) {
    private class ValidRequest(
        val customer: CustomerId,
        val chat: ChatRequest,
        val modelRoute: RouteTable.ModelRoute,
        val streamIdentity: (WeightsVersion) -> StreamIdentity,
        val startPosition: StreamPosition,
    ) {
        val promptTokens: Long = chat.promptTokensUpperBound(modelRoute.model.bytesPerToken)
        val maxAnswerTokens: Long = chat.maxAnswerTokens ?: modelRoute.model.maxAnswerTokens.toLong()
    }

    private sealed interface Validation {
        class Passed(
            val request: ValidRequest,
        ) : Validation

        class Failed(
            val refusal: Refusal,
        ) : Validation
    }

    suspend fun handle(context: RequestContext) {
        val extractedKeys = CallerKey.extract(context.exchange.headers)
        when (val authentication = authenticator.authenticate(extractedKeys, context.bundle)) {
            is Authenticator.Result.Refused -> context.refuse(authentication.refusal)
            is Authenticator.Result.Accepted -> {
                context.recordCustomer(authentication.customer.id)
                when (val validation = validate(context, authentication.customer.id, extractedKeys)) {
                    is Validation.Failed -> context.refuse(validation.refusal)
                    is Validation.Passed -> process(context, authentication.digest, validation.request)
                }
            }
        }
    }

    private fun validate(
        context: RequestContext,
        customer: CustomerId,
        extractedKeys: CallerKey.Extracted,
    ): Validation {
        val body = context.exchange.body
        if (extractedKeys.keys.any { it.occursIn(body) }) {
            return Validation.Failed(Refusal.badRequest("key_in_body", "The request body contains the caller's key."))
        }
        return when (val parsed = ChatRequest.parse(body, settings.json)) {
            is ChatRequestResult.Invalid -> Validation.Failed(invalidRequestRefusal(parsed))
            is ChatRequestResult.Parsed -> {
                val modelRoute = context.routeTable.model(parsed.request.model)
                if (modelRoute == null) {
                    Validation.Failed(Refusal.notFound("model_not_found", "model: no such model or route", "model"))
                } else {
                    resolveStart(context, customer, parsed.request, modelRoute)
                }
            }
        }
    }

    private fun invalidRequestRefusal(parsed: ChatRequestResult.Invalid): Refusal =
        if (parsed.tooLarge) {
            Refusal.tooLarge(parsed.message)
        } else {
            Refusal.badRequest("invalid_request", parsed.message, parsed.field)
        }

    private fun resolveStart(
        context: RequestContext,
        customer: CustomerId,
        chat: ChatRequest,
        modelRoute: RouteTable.ModelRoute,
    ): Validation {
        context.recordRoute(modelRoute.route)
        val bodyDigest = MessageDigest.getInstance("SHA-256").digest(context.exchange.body)
        val identity = { weights: WeightsVersion ->
            StreamIdentity(customer, modelRoute.model.name, weights, bodyDigest)
        }
        val start = StreamPosition(context.requestId, 0, StreamPosition.Phase.CONTENT)
        val token = context.exchange.headers.get("Last-Event-ID")
        if (token.isNullOrEmpty()) return Validation.Passed(ValidRequest(customer, chat, modelRoute, identity, start))
        if (!chat.stream) return Validation.Failed(resumeRefusal("can only be used with stream set to true"))
        return when (val tokenResult = resumeTokenCodec.check(token, identity(modelRoute.model.weights))) {
            ResumeTokenResult.Invalid -> Validation.Failed(resumeRefusal("is not a token of this fleet"))
            ResumeTokenResult.Expired -> Validation.Failed(resumeRefusal("has expired"))
            is ResumeTokenResult.Mismatch -> Validation.Failed(resumeRefusal("belongs to another ${tokenResult.part}"))
            is ResumeTokenResult.Valid -> {
                val position = tokenResult.position
                context.trace.step(
                    "resume",
                    "stream ${position.requestId} at index ${position.nextIndex}, ${position.phase}",
                )
                metrics.streamResumed("caller")
                Validation.Passed(ValidRequest(customer, chat, modelRoute, identity, position))
            }
        }
    }

    private fun resumeRefusal(problem: String): Refusal =
        Refusal.badRequest("invalid_resume_token", "Last-Event-ID: the token $problem.", "Last-Event-ID")

    private suspend fun process(
        context: RequestContext,
        keyDigest: KeyDigest,
        request: ValidRequest,
    ) {
        val stream =
            if (request.chat.stream) {
                StreamingSink(
                    context.response,
                    resumeTokenCodec,
                    request.streamIdentity,
                    request.startPosition,
                    request.chat.includeUsage,
                )
            } else {
                null
            }
        val stopReason =
            authenticator.runWhileAuthorized(context, keyDigest) {
                if (isComplete(request)) {
                    finishComplete(context, request, checkNotNull(stream))
                } else {
                    reserve(context, request, stream)
                }
            }
        if (stopReason != null) respondToStop(context, stopReason, keyDigest, stream)
    }

    /** Returns whether the caller already received everything except the end of the stream. */
    private fun isComplete(request: ValidRequest): Boolean =
        request.startPosition.phase == StreamPosition.Phase.USAGE_SENT ||
            request.startPosition.phase == StreamPosition.Phase.FINISHED &&
            !request.chat.includeUsage

    private suspend fun finishComplete(
        context: RequestContext,
        request: ValidRequest,
        stream: StreamingSink,
    ) {
        stream.begin(request.modelRoute.model.weights)
        stream.done()
        context.recordOutcome("completed", "the caller had the whole answer already")
    }

    private suspend fun reserve(
        context: RequestContext,
        request: ValidRequest,
        stream: StreamingSink?,
    ) {
        val remainingTokens = (request.maxAnswerTokens - request.startPosition.nextIndex).coerceAtLeast(0)
        when (val reserveResult = rates.reserve(request.customer, request.promptTokens + remainingTokens)) {
            is ReserveResult.Refused -> {
                context.trace.step("rate refused", reserveResult.reason)
                context.refuse(Refusal.overRate("The customer's rate is used up.", reserveResult.retryAfterMillis))
            }
            is ReserveResult.Reserved -> {
                context.trace.step("rate", "reserved ${request.promptTokens} + $remainingTokens tokens")
                reserveResult.reservation.use { relay(context, request, stream, it) }
            }
        }
    }

    private suspend fun relay(
        context: RequestContext,
        request: ValidRequest,
        stream: StreamingSink?,
        reservation: Reservation,
    ) {
        val call =
            ChatCall(
                context = context,
                customer = request.customer,
                route = request.modelRoute.route,
                model = request.modelRoute.model,
                chat = request.chat,
                sink = stream ?: BufferedSink(context.response, settings.maxBufferedResponseBytes),
                startPosition = request.startPosition,
                promptTokens = request.promptTokens,
                maxAnswerTokens = request.maxAnswerTokens,
                reservation = reservation,
            )
        when (val result = relay.run(call)) {
            CompletionRelay.Result.Completed -> context.recordOutcome("completed", "${call.nextIndex} chunks")
            is CompletionRelay.Result.Failed -> respondWithFailure(context, result.refusal, stream)
        }
    }

    private suspend fun respondWithFailure(
        context: RequestContext,
        refusal: Refusal,
        stream: StreamingSink?,
    ) {
        if (stream == null || !context.response.started) {
            context.refuse(refusal)
            return
        }
        context.recordOutcome("broken ${refusal.error.code}", refusal.error.message)
        context.response.failStream(refusal.error, stream.resumeToken)
    }

    private suspend fun respondToStop(
        context: RequestContext,
        stopReason: StopReason,
        keyDigest: KeyDigest,
        stream: StreamingSink?,
    ) {
        metrics.requestStopped(stopReason)
        when {
            // The complete response was sent before the work was cancelled.
            context.response.isEnded -> context.recordOutcome("completed", "stopped after the answer's end")
            stopReason == StopReason.CALLER_DISCONNECTED -> context.recordOutcome("disconnected", "the caller left")
            else -> respondWithFailure(context, authenticator.withdrawalRefusal(keyDigest), stream)
        }
    }
}
