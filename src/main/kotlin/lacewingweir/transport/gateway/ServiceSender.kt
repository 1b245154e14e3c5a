package lacewingweir.transport.gateway

import io.github.oshai.kotlinlogging.KotlinLogging
import io.opentelemetry.api.trace.SpanKind
import lacewingweir.state.bundle.Endpoint
import lacewingweir.state.id.EndpointId
import lacewingweir.transport.http.ClientRequest
import lacewingweir.transport.http.ClientResponse
import lacewingweir.transport.http.ClientResult
import lacewingweir.transport.http.HttpClient

private val logger = KotlinLogging.logger {}

/**
 * Sends service calls to endpoints.
 *
 * A call on a non-repeatable route is sent at most once. Other calls are retried once on another endpoint.
 */
internal class ServiceSender(
    private val client: HttpClient,
    private val endpointSelector: ServiceEndpointSelector,
    private val metrics: GatewayMetrics,
    private val tracing: GatewayTracing,
) {
    /** The result of a call. */
    internal sealed interface Result {
        /** The response was passed to the `deliver` parameter of [send]. */
        data object Delivered : Result

        class Failed(
            val refusal: Refusal,
        ) : Result
    }

    private sealed interface AttemptResult {
        data object Delivered : AttemptResult

        class Failed(
            val detail: String,
        ) : AttemptResult
    }

    /**
     * Sends [call] and passes the response to [deliver], which reads it.
     *
     * There is no further attempt after [deliver] was called, and the call counts as in progress on its endpoint until
     * [deliver] returns. The run state of the request is up to date when [deliver] is called and when this function
     * returns.
     */
    suspend fun send(
        call: ServiceCall,
        deliver: suspend (ClientResponse) -> Unit,
    ): Result {
        val tried = LinkedHashSet<EndpointId>()
        val maxAttempts = if (call.route.repeatable) MAX_REPEATABLE_ATTEMPTS else 1
        var detail = "no endpoint is available"
        while (tried.size < maxAttempts) {
            val endpoint = endpointSelector.acquire(call.context.bundle, call.route, tried) ?: break
            check(tried.isEmpty() || call.route.repeatable) { "second attempt of a non-repeatable call" }
            tried += endpoint.id
            if (tried.size > 1) metrics.requestRetried(call.context.trafficClassLabel)
            when (val attempt = attempt(call, endpoint, isLast = tried.size == maxAttempts, deliver)) {
                AttemptResult.Delivered -> return Result.Delivered
                is AttemptResult.Failed -> detail = attempt.detail
            }
        }
        if (tried.isEmpty()) call.context.runTracker.markNotRun()
        call.context.trace.step("gave up", detail)
        return Result.Failed(Refusal.unavailable("service_unavailable", "The service gave no answer."))
    }

    private suspend fun attempt(
        call: ServiceCall,
        endpoint: Endpoint,
        isLast: Boolean,
        deliver: suspend (ClientResponse) -> Unit,
    ): AttemptResult {
        val traceSpan = tracing.startChildSpan(call.context.traceSpan, "attempt", SpanKind.CLIENT)
        traceSpan.span.setAttribute("lacewingweir.endpoint", endpoint.id.value)
        var failed = false
        var detail: String? = null
        try {
            call.context.trace.step("attempt", "service ${endpoint.id}")
            call.context.runTracker.markSending()
            val result = client.open(clientRequest(call, endpoint, traceSpan))
            detail = failureReason(call, result, isLast)
            if (detail == null) {
                val response = (result as ClientResult.Answered).response
                try {
                    deliver(response)
                } finally {
                    response.close()
                }
                return AttemptResult.Delivered
            }
            failed = true
            call.context.trace.step("attempt failed", "service ${endpoint.id}: $detail")
            logger.info { "route: request ${call.context.requestId}: service ${endpoint.id}: $detail" }
            return AttemptResult.Failed(detail)
        } finally {
            endpointSelector.release(endpoint, failed)
            traceSpan.end(detail)
        }
    }

    /**
     * Updates the run state of the request.
     *
     * Returns the reason for which the attempt has no response for the caller, or null if it has one.
     */
    private fun failureReason(
        call: ServiceCall,
        result: ClientResult,
        isLast: Boolean,
    ): String? {
        val runTracker = call.context.runTracker
        return when (result) {
            is ClientResult.NotSent -> {
                runTracker.markNotRun()
                "not sent: ${result.reason}"
            }
            is ClientResult.Unknown -> "no answer: ${result.reason}"
            is ClientResult.Answered -> {
                val response = result.response
                val notRun = response.status >= MIN_ERROR_STATUS && response.headers.get(RUN_STATE_HEADER) == "not-run"
                if (notRun) {
                    runTracker.markNotRun()
                } else if (response.status < MIN_ERROR_STATUS) {
                    runTracker.markRun()
                }
                val retry = notRun && !isLast && response.status >= MIN_SERVER_ERROR_STATUS
                if (retry) response.close()
                "refused with ${response.status}, not run".takeIf { retry }
            }
        }
    }

    private fun clientRequest(
        call: ServiceCall,
        endpoint: Endpoint,
        traceSpan: GatewayTracing.TraceSpan,
    ): ClientRequest =
        ClientRequest(
            host = endpoint.host,
            port = endpoint.port,
            method = call.method,
            path = call.target,
            headers = call.headers + tracing.propagationHeaders(traceSpan),
            body = call.body,
            freshConnection = !call.route.repeatable,
            headTimeoutMillis = call.route.deadlineMillis,
        )

    private companion object {
        const val MAX_REPEATABLE_ATTEMPTS: Int = 2
        const val MIN_ERROR_STATUS: Int = 400
        const val MIN_SERVER_ERROR_STATUS: Int = 500
        const val RUN_STATE_HEADER: String = "X-Run"
    }
}
