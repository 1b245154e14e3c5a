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
 * Gets a chat completion from engines: schedules an attempt, relays its chunks, and goes on at the next index on
 * another engine after a failure.
 *
 * [background] runs the cancel commands that outlive a request.
 */
internal class EngineRelay(
    private val bundles: BundleSource,
    private val scheduler: EngineScheduler,
    private val engines: EngineAdapter,
    private val salts: CacheSalt,
    private val metrics: GatewayMetrics,
    private val tracing: GatewayTracing,
    private val settings: GatewaySettings,
    private val background: CoroutineScope,
    private val clock: MonotonicClock,
) {
    internal sealed interface Result {
        data object Completed : Result

        class GaveUp(
            val refusal: Refusal,
        ) : Result
    }

    private sealed interface AttemptEnd {
        class Final(
            val result: Result,
        ) : AttemptEnd

        class Failed(
            val detail: String,
            val notServing: Boolean,
        ) : AttemptEnd
    }

    private class Attempt(
        val call: ChatCall,
        val lease: EngineLease,
        val number: Int,
        val deadlineMillis: Long,
        val firstTokenByMillis: Long,
    ) {
        var outcome: AttemptOutcome = AttemptOutcome.CANCELLED
        var cachedTokens: Long? = null
    }

    suspend fun run(call: ChatCall): Result {
        val excluded = LinkedHashSet<EndpointId>()
        var number = 0
        var deadline = clock.nowMillis() + call.route.deadlineMillis
        var servingBy = Long.MAX_VALUE
        while (true) {
            refreshModel(call)
            val lease =
                when (val scheduled = schedule(call, minOf(deadline, servingBy), excluded, number)) {
                    is ScheduleResult.Refused ->
                        return gaveUp(call, "no_engine", scheduled.reason, scheduled.retryAfterMillis)
                    is ScheduleResult.Granted -> scheduled.lease
                }
            if (number > 0) countRetry(call)
            val firstTokenBy = minOf(deadline, clock.nowMillis() + lease.firstTokenTimeoutMillis)
            val end = attempt(Attempt(call, lease, number, deadline, firstTokenBy))
            if (end is AttemptEnd.Final) return end.result
            val failed = end as AttemptEnd.Failed
            excluded += lease.endpoint.id
            if (failed.notServing && !call.hasProgress) {
                // Nothing was run and the engine is healthy, so this is no retry; but a stuck rollout must end the
                // wait.
                servingBy = minOf(servingBy, clock.nowMillis() + settings.rolloutWaitMillis)
                if (clock.nowMillis() < servingBy) continue
            }
            val detail = failed.detail
            if (++number >= settings.maxAttempts) return gaveUp(call, "engines_failed", detail, RETRY_AFTER_MILLIS)
            if (call.hasProgress) deadline = clock.nowMillis() + settings.resumeDeadlineMillis
        }
    }

    private fun refreshModel(call: ChatCall) {
        // An answer that has begun, here or before a caller's resume, keeps its weights version.
        if (call.hasProgress || call.sink.started || call.start.nextIndex > 0) return
        val current = bundles.current()?.model(call.model.name) ?: return
        if (current != call.model) call.useModel(current)
    }

    private fun countRetry(call: ChatCall) {
        metrics.retried(call.context.routeClass)
        if (call.hasProgress) metrics.resumed("engine_failure")
    }

    private fun gaveUp(
        call: ChatCall,
        code: String,
        reason: String,
        retryAfterMillis: Long,
    ): Result {
        call.context.trace.step("gave up", reason)
        val message =
            if (call.hasProgress) "The answer broke off and can't be continued now." else "No engine can answer now."
        return Result.GaveUp(Refusal.unavailable(code, message, retryAfterMillis))
    }

    private suspend fun schedule(
        call: ChatCall,
        deadlineMillis: Long,
        excluded: Set<EndpointId>,
        number: Int,
    ): ScheduleResult {
        val hop = tracing.child(call.context.hop, "schedule")
        var error: String? = "cancelled"
        try {
            val result =
                scheduler.schedule(
                    ScheduleRequest(
                        customer = call.customer,
                        trafficClass = call.route.trafficClass,
                        model = call.model,
                        prefix = call.prefix(salt(call)),
                        promptTokens = call.promptTokens,
                        maxAnswerTokens = call.maxAnswerTokens,
                        deadlineMillis = deadlineMillis,
                        excluded = excluded.toSet(),
                        attempt = number,
                    ),
                )
            error = (result as? ScheduleResult.Refused)?.reason
            when (result) {
                is ScheduleResult.Granted -> call.context.trace.step("schedule", "engine ${result.lease.endpoint.id}")
                is ScheduleResult.Refused -> call.context.trace.step("schedule refused", result.reason)
            }
            return result
        } finally {
            hop.end(error)
        }
    }

    private fun salt(call: ChatCall): String = salts.of(call.customer, call.model.name, null, call.model.weights)

    private suspend fun attempt(attempt: Attempt): AttemptEnd {
        val call = attempt.call
        val endpoint = attempt.lease.endpoint
        val hop = tracing.child(call.context.hop, "attempt", SpanKind.CLIENT)
        hop.span.setAttribute("lacewingweir.endpoint", endpoint.id.value)
        var detail: String? = "cancelled"
        try {
            call.context.run.sending()
            val answer = engines.open(endpoint, request(attempt, hop))
            val end =
                when (answer) {
                    is EngineAnswer.Streaming -> streaming(attempt, answer)
                    is EngineAnswer.Refused -> refused(attempt, answer)
                    is EngineAnswer.Dropped -> dropped(attempt, answer.reason, answer.detail)
                    is EngineAnswer.NotSent -> {
                        call.context.run.notRun()
                        failed(attempt, AttemptOutcome.NOT_RUN, "not sent: ${answer.detail}")
                    }
                    is EngineAnswer.Unknown -> failed(attempt, AttemptOutcome.FAILED, "no answer: ${answer.detail}")
                }
            detail = (end as? AttemptEnd.Failed)?.detail
            return end
        } finally {
            attempt.lease.finish(attempt.outcome, attempt.cachedTokens)
            if (attempt.outcome == AttemptOutcome.CANCELLED) {
                call.context.trace.step("cancel", "engine ${endpoint.id}")
                background.launch { engines.cancel(endpoint, call.start.requestId) }
            }
            hop.end(detail)
        }
    }

    private fun request(
        attempt: Attempt,
        hop: GatewayTracing.Hop,
    ): EngineRequest {
        val call = attempt.call
        return EngineRequest(
            chat = call.chat,
            model = call.model.name,
            weights = call.model.weights,
            requestId = call.start.requestId,
            cacheSalt = salt(call),
            trafficClass = call.route.trafficClass,
            maxAnswerTokens = call.maxAnswerTokens,
            resumeAt = call.nextIndex,
            resumeFinished = call.finished,
            traceHeaders = tracing.headers(hop),
            headTimeoutMillis = untilFirstToken(attempt),
        )
    }

    private fun untilFirstToken(attempt: Attempt): Long =
        (attempt.firstTokenByMillis - clock.nowMillis()).coerceAtLeast(MIN_TIMEOUT_MILLIS)

    private suspend fun streaming(
        attempt: Attempt,
        answer: EngineAnswer.Streaming,
    ): AttemptEnd {
        val call = attempt.call
        try {
            call.context.run.ran()
            attempt.lease.responseHead(answer.head.incarnation, answer.head.load, answer.head.leaving)
            call.settlePrompt()
            call.sink.begin(call.model.weights)
            return relay(attempt, answer.stream)
        } finally {
            answer.stream.close()
        }
    }

    private suspend fun relay(
        attempt: Attempt,
        stream: EngineStream,
    ): AttemptEnd {
        val call = attempt.call
        var silenceMillis = untilFirstToken(attempt)
        while (true) {
            when (val event = stream.next(silenceMillis)) {
                is EngineEvent.Content -> if (!content(attempt, event)) return tooLong(attempt)
                is EngineEvent.UsageReport -> {
                    attempt.cachedTokens = event.usage.cachedTokens
                    call.correctPrompt(event.usage)
                    call.sink.usage(event)
                }
                EngineEvent.Done -> {
                    attempt.outcome = AttemptOutcome.COMPLETED
                    call.sink.done()
                    stream.drain()
                    return AttemptEnd.Final(Result.Completed)
                }
                is EngineEvent.Violation -> return dropped(attempt, event.reason, event.detail)
            }
            silenceMillis = settings.engineSilenceMillis
        }
    }

    private suspend fun content(
        attempt: Attempt,
        event: EngineEvent.Content,
    ): Boolean {
        val call = attempt.call
        if (!call.hasProgress) {
            attempt.lease.firstToken(null)
            metrics.firstToken(call.context.routeClass, call.context.trace.elapsedMillis)
        }
        call.advance(event.index, event.chunk.finishReason != null)
        return call.sink.content(event)
    }

    private fun tooLong(attempt: Attempt): AttemptEnd {
        attempt.call.context.trace
            .step("gave up", "the answer exceeds ${settings.maxAnswerBytes} bytes")
        val refusal = Refusal.unavailable("answer_too_large", "The answer is too large to be sent as a whole.")
        return AttemptEnd.Final(Result.GaveUp(refusal))
    }

    private fun refused(
        attempt: Attempt,
        answer: EngineAnswer.Refused,
    ): AttemptEnd {
        val run = attempt.call.context.run
        if (answer.notRun) run.notRun()
        answer.incarnation?.let { attempt.lease.responseHead(it, answer.load, answer.leaving) }
        val detail = "engine refused with ${answer.status}: ${answer.message}"
        val outcome =
            when {
                answer.notRun && answer.status == SERVICE_UNAVAILABLE -> AttemptOutcome.NOT_SERVING
                answer.notRun -> AttemptOutcome.NOT_RUN
                else -> AttemptOutcome.FAILED
            }
        if (answer.status !in REQUEST_ERRORS) return failed(attempt, outcome, detail)
        // The request itself is wrong, so that another engine would refuse it too.
        attempt.outcome = AttemptOutcome.COMPLETED
        attempt.call.context.trace
            .step("attempt refused", detail)
        return AttemptEnd.Final(Result.GaveUp(Refusal.badRequest("engine_refused", answer.message)))
    }

    private fun dropped(
        attempt: Attempt,
        reason: DropReason,
        detail: String,
    ): AttemptEnd {
        metrics.dropped(reason)
        val outcome = if (reason == DropReason.WEIGHTS) AttemptOutcome.NOT_SERVING else AttemptOutcome.FAILED
        return failed(attempt, outcome, "answer dropped (${reason.label}): $detail")
    }

    private fun failed(
        attempt: Attempt,
        outcome: AttemptOutcome,
        detail: String,
    ): AttemptEnd {
        val call = attempt.call
        attempt.outcome = outcome
        val where = "engine ${attempt.lease.endpoint.id}, attempt ${attempt.number}, next index ${call.nextIndex}"
        call.context.trace.step("attempt failed", "$where: $detail")
        logger.info { "route: request ${call.context.requestId}: $where: $detail" }
        return AttemptEnd.Failed(detail, notServing = outcome == AttemptOutcome.NOT_SERVING)
    }

    private companion object {
        const val SERVICE_UNAVAILABLE: Int = 503
        const val RETRY_AFTER_MILLIS: Long = 1_000
        const val MIN_TIMEOUT_MILLIS: Long = 100
        val REQUEST_ERRORS: Set<Int> = setOf(400, 413, 422)
    }
}
