package lacewingweir.transport.gateway

import io.github.oshai.kotlinlogging.KotlinLogging
import io.opentelemetry.api.trace.SpanKind
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import lacewingweir.coordination.bundle.BundleSource
import lacewingweir.coordination.routing.AttemptOutcome
import lacewingweir.coordination.routing.EngineLease
import lacewingweir.coordination.routing.EngineScheduler
import lacewingweir.coordination.routing.ScheduleRequest
import lacewingweir.coordination.routing.ScheduleResult
import lacewingweir.protocol.engine.DropReason
import lacewingweir.protocol.engine.EngineEvent
import lacewingweir.protocol.engine.EngineRequest
import lacewingweir.state.id.EndpointId
import lacewingweir.state.time.MonotonicClock

private val logger = KotlinLogging.logger {}

/**
 * Runs a chat completion on engines: schedules an attempt, relays its chunks, and after a failure continues at the next
 * chunk index on another engine.
 *
 * [background] runs cancel commands, which may outlive a request.
 */
internal class CompletionRelay(
    private val bundles: BundleSource,
    private val scheduler: EngineScheduler,
    private val engines: EngineAdapter,
    private val saltDeriver: CacheSaltDeriver,
    private val metrics: GatewayMetrics,
    private val tracing: GatewayTracing,
    private val settings: GatewaySettings,
    private val background: CoroutineScope,
    private val clock: MonotonicClock,
) {
    internal sealed interface Result {
        data object Completed : Result

        class Failed(
            val refusal: Refusal,
        ) : Result
    }

    private sealed interface AttemptResult {
        /** The attempt determined the result of the call. */
        class Final(
            val result: Result,
        ) : AttemptResult

        /** The attempt failed. [notServing] is true if the engine is healthy but does not serve the request. */
        class Retryable(
            val detail: String,
            val notServing: Boolean,
        ) : AttemptResult
    }

    private class Attempt(
        val call: ChatCall,
        val lease: EngineLease,
        val number: Int,
        val deadlineMillis: Long,
        val firstTokenDeadlineMillis: Long,
    ) {
        var outcome: AttemptOutcome = AttemptOutcome.CANCELLED
        var cachedTokens: Long? = null
    }

    /** Makes attempts until one completes the call, no engine is available or the attempts are exhausted. */
    suspend fun run(call: ChatCall): Result {
        val excluded = LinkedHashSet<EndpointId>()
        var attemptNumber = 0
        var deadline = clock.nowMillis() + call.route.deadlineMillis
        var rolloutDeadline = Long.MAX_VALUE
        while (true) {
            refreshModel(call)
            val lease =
                when (val scheduled = schedule(call, minOf(deadline, rolloutDeadline), excluded, attemptNumber)) {
                    is ScheduleResult.Refused ->
                        return fail(call, "no_engine", scheduled.reason, scheduled.retryAfterMillis)
                    is ScheduleResult.Granted -> scheduled.lease
                }
            if (attemptNumber > 0) recordRetry(call)
            val firstTokenDeadline = minOf(deadline, clock.nowMillis() + lease.firstTokenTimeoutMillis)
            val attemptResult = attempt(Attempt(call, lease, attemptNumber, deadline, firstTokenDeadline))
            if (attemptResult is AttemptResult.Final) return attemptResult.result
            val failure = attemptResult as AttemptResult.Retryable
            excluded += lease.endpoint.id
            if (failure.notServing && !call.hasProgress) {
                // The engine is healthy but does not serve the request, for example during a rollout, so this does not
                // count as a retry. The rollout deadline ends the wait if the rollout is stalled.
                rolloutDeadline = minOf(rolloutDeadline, clock.nowMillis() + settings.rolloutWaitTimeoutMillis)
                if (clock.nowMillis() < rolloutDeadline) continue
            }
            val detail = failure.detail
            if (++attemptNumber >= settings.maxAttempts) return fail(call, "engines_failed", detail, RETRY_AFTER_MILLIS)
            if (call.hasProgress) deadline = clock.nowMillis() + settings.resumeTimeoutMillis
        }
    }

    private fun refreshModel(call: ChatCall) {
        // A response that has begun, in this call or before the caller resumed it, keeps its weights version.
        if (call.hasProgress || call.sink.started || call.startPosition.nextIndex > 0) return
        val current = bundles.current()?.model(call.model.name) ?: return
        if (current != call.model) call.updateModel(current)
    }

    private fun recordRetry(call: ChatCall) {
        metrics.requestRetried(call.context.trafficClassLabel)
        if (call.hasProgress) metrics.streamResumed("engine_failure")
    }

    private fun fail(
        call: ChatCall,
        code: String,
        reason: String,
        retryAfterMillis: Long,
    ): Result {
        call.context.trace.step("gave up", reason)
        val message =
            if (call.hasProgress) "The answer broke off and can't be continued now." else "No engine can answer now."
        return Result.Failed(Refusal.unavailable(code, message, retryAfterMillis))
    }

    private suspend fun schedule(
        call: ChatCall,
        deadlineMillis: Long,
        excluded: Set<EndpointId>,
        attemptNumber: Int,
    ): ScheduleResult {
        val traceSpan = tracing.startChildSpan(call.context.traceSpan, "schedule")
        var error: String? = "cancelled"
        try {
            val result =
                scheduler.schedule(
                    ScheduleRequest(
                        customer = call.customer,
                        trafficClass = call.route.trafficClass,
                        model = call.model,
                        prefix = call.prefixChain(cacheSalt(call)),
                        promptTokens = call.promptTokens,
                        maxAnswerTokens = call.maxAnswerTokens,
                        deadlineMillis = deadlineMillis,
                        excluded = excluded.toSet(),
                        attempt = attemptNumber,
                    ),
                )
            error = (result as? ScheduleResult.Refused)?.reason
            when (result) {
                is ScheduleResult.Granted -> call.context.trace.step("schedule", "engine ${result.lease.endpoint.id}")
                is ScheduleResult.Refused -> call.context.trace.step("schedule refused", result.reason)
            }
            return result
        } finally {
            traceSpan.end(error)
        }
    }

    private fun cacheSalt(call: ChatCall): String =
        saltDeriver.derive(call.customer, call.model.name, null, call.model.weights)

    private suspend fun attempt(attempt: Attempt): AttemptResult {
        val call = attempt.call
        val endpoint = attempt.lease.endpoint
        val traceSpan = tracing.startChildSpan(call.context.traceSpan, "attempt", SpanKind.CLIENT)
        traceSpan.span.setAttribute("lacewingweir.endpoint", endpoint.id.value)
        var detail: String? = "cancelled"
        try {
            call.context.runTracker.markSending()
            val response = engines.open(endpoint, engineRequest(attempt, traceSpan))
            val attemptResult =
                when (response) {
                    is EngineResponse.Streaming -> relayResponse(attempt, response)
                    is EngineResponse.Refused -> handleRefusal(attempt, response)
                    is EngineResponse.Dropped -> handleDropped(attempt, response.reason, response.detail)
                    is EngineResponse.NotSent -> {
                        call.context.runTracker.markNotRun()
                        failAttempt(attempt, AttemptOutcome.NOT_RUN, "not sent: ${response.detail}")
                    }
                    is EngineResponse.Unknown ->
                        failAttempt(
                            attempt,
                            AttemptOutcome.FAILED,
                            "no answer: ${response.detail}",
                        )
                }
            detail = (attemptResult as? AttemptResult.Retryable)?.detail
            return attemptResult
        } finally {
            attempt.lease.finish(attempt.outcome, attempt.cachedTokens)
            if (attempt.outcome == AttemptOutcome.CANCELLED) {
                call.context.trace.step("cancel", "engine ${endpoint.id}")
                background.launch { engines.cancel(endpoint, call.startPosition.requestId) }
            }
            traceSpan.end(detail)
        }
    }

    private fun engineRequest(
        attempt: Attempt,
        traceSpan: GatewayTracing.TraceSpan,
    ): EngineRequest {
        val call = attempt.call
        return EngineRequest(
            chat = call.chat,
            model = call.model.name,
            weights = call.model.weights,
            requestId = call.startPosition.requestId,
            cacheSalt = cacheSalt(call),
            trafficClass = call.route.trafficClass,
            maxAnswerTokens = call.maxAnswerTokens,
            resumeAt = call.nextIndex,
            resumeFinished = call.finished,
            traceHeaders = tracing.propagationHeaders(traceSpan),
            headTimeoutMillis = remainingFirstTokenMillis(attempt),
        )
    }

    private fun remainingFirstTokenMillis(attempt: Attempt): Long =
        (attempt.firstTokenDeadlineMillis - clock.nowMillis()).coerceAtLeast(MIN_TIMEOUT_MILLIS)

    private suspend fun relayResponse(
        attempt: Attempt,
        response: EngineResponse.Streaming,
    ): AttemptResult {
        val call = attempt.call
        try {
            call.context.runTracker.markRun()
            attempt.lease.responseHead(response.head.incarnation, response.head.load, response.head.leaving)
            call.chargePrompt()
            call.sink.begin(call.model.weights)
            return relay(attempt, response.stream)
        } finally {
            response.stream.close()
        }
    }

    private suspend fun relay(
        attempt: Attempt,
        stream: EngineStream,
    ): AttemptResult {
        val call = attempt.call
        var timeoutMillis = remainingFirstTokenMillis(attempt)
        while (true) {
            when (val event = stream.next(timeoutMillis)) {
                is EngineEvent.Content -> if (!handleContent(attempt, event)) return failTooLarge(attempt)
                is EngineEvent.UsageReport -> {
                    attempt.cachedTokens = event.usage.cachedTokens
                    call.chargeMissingPromptTokens(event.usage)
                    call.sink.usage(event)
                }
                EngineEvent.Done -> {
                    attempt.outcome = AttemptOutcome.COMPLETED
                    call.sink.done()
                    stream.drain()
                    return AttemptResult.Final(Result.Completed)
                }
                is EngineEvent.Violation -> return handleDropped(attempt, event.reason, event.detail)
            }
            timeoutMillis = settings.engineIdleTimeoutMillis
        }
    }

    private suspend fun handleContent(
        attempt: Attempt,
        event: EngineEvent.Content,
    ): Boolean {
        val call = attempt.call
        if (!call.hasProgress) {
            attempt.lease.firstToken(null)
            metrics.firstTokenReceived(call.context.trafficClassLabel, call.context.trace.elapsedMillis)
        }
        call.advance(event.index, event.chunk.finishReason != null)
        return call.sink.content(event)
    }

    private fun failTooLarge(attempt: Attempt): AttemptResult {
        attempt.call.context.trace
            .step("gave up", "the answer exceeds ${settings.maxBufferedResponseBytes} bytes")
        val refusal = Refusal.unavailable("answer_too_large", "The answer is too large to be sent as a whole.")
        return AttemptResult.Final(Result.Failed(refusal))
    }

    private fun handleRefusal(
        attempt: Attempt,
        response: EngineResponse.Refused,
    ): AttemptResult {
        val runTracker = attempt.call.context.runTracker
        if (response.notRun) runTracker.markNotRun()
        response.incarnation?.let { attempt.lease.responseHead(it, response.load, response.leaving) }
        val detail = "engine refused with ${response.status}: ${response.message}"
        val outcome =
            when {
                response.notRun && response.status == STATUS_SERVICE_UNAVAILABLE -> AttemptOutcome.NOT_SERVING
                response.notRun -> AttemptOutcome.NOT_RUN
                else -> AttemptOutcome.FAILED
            }
        if (response.status !in REQUEST_ERROR_STATUSES) return failAttempt(attempt, outcome, detail)
        // The request itself is invalid, so another engine would refuse it too.
        attempt.outcome = AttemptOutcome.COMPLETED
        attempt.call.context.trace
            .step("attempt refused", detail)
        return AttemptResult.Final(Result.Failed(Refusal.badRequest("engine_refused", response.message)))
    }

    private fun handleDropped(
        attempt: Attempt,
        reason: DropReason,
        detail: String,
    ): AttemptResult {
        metrics.responseDropped(reason)
        val outcome = if (reason == DropReason.WEIGHTS) AttemptOutcome.NOT_SERVING else AttemptOutcome.FAILED
        return failAttempt(attempt, outcome, "answer dropped (${reason.label}): $detail")
    }

    private fun failAttempt(
        attempt: Attempt,
        outcome: AttemptOutcome,
        detail: String,
    ): AttemptResult {
        val call = attempt.call
        attempt.outcome = outcome
        val where = "engine ${attempt.lease.endpoint.id}, attempt ${attempt.number}, next index ${call.nextIndex}"
        call.context.trace.step("attempt failed", "$where: $detail")
        logger.info { "route: request ${call.context.requestId}: $where: $detail" }
        return AttemptResult.Retryable(detail, notServing = outcome == AttemptOutcome.NOT_SERVING)
    }

    private companion object {
        const val STATUS_SERVICE_UNAVAILABLE: Int = 503
        const val RETRY_AFTER_MILLIS: Long = 1_000
        const val MIN_TIMEOUT_MILLIS: Long = 100
        val REQUEST_ERROR_STATUSES: Set<Int> = setOf(400, 413, 422)
    }
}
