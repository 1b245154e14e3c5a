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

/** Sends service calls to endpoints: once if the route is unrepeatable, else with one retry on another endpoint. */
internal class ServiceSender(
    private val client: HttpClient,
    private val endpoints: ServiceEndpoints,
    private val metrics: GatewayMetrics,
    private val tracing: GatewayTracing,
) {
    /** What came of a call. */
    internal sealed interface Result {
        /** [use] reads the answer, and the endpoint counts as busy until [use] returns. */
        data object Used : Result

        class Failed(
            val refusal: Refusal,
        ) : Result
    }

    private sealed interface Attempt {
        data object Used : Attempt

        class Failed(
            val detail: String,
        ) : Attempt
    }

    /**
     * Sends [call] and hands the answer to [use]. Once [use] was called there is no further attempt. The run state of
     * the request is up to date when [use] is called and when this returns.
     */
    suspend fun send(
        call: ServiceCall,
        use: suspend (ClientResponse) -> Unit,
    ): Result {
        val tried = LinkedHashSet<EndpointId>()
        val maxAttempts = if (call.route.repeatable) REPEATABLE_ATTEMPTS else 1
        var detail = "no endpoint is available"
        while (tried.size < maxAttempts) {
            val endpoint = endpoints.choose(call.context.bundle, call.route, tried) ?: break
            check(tried.isEmpty() || call.route.repeatable) { "second attempt of an unrepeatable call" }
            tried += endpoint.id
            if (tried.size > 1) metrics.retried(call.context.routeClass)
            when (val attempt = attempt(call, endpoint, last = tried.size == maxAttempts, use)) {
                Attempt.Used -> return Result.Used
                is Attempt.Failed -> detail = attempt.detail
            }
        }
        if (tried.isEmpty()) call.context.run.notRun()
        call.context.trace.step("gave up", detail)
        return Result.Failed(Refusal.unavailable("service_unavailable", "The service gave no answer."))
    }

    private suspend fun attempt(
        call: ServiceCall,
        endpoint: Endpoint,
        last: Boolean,
        use: suspend (ClientResponse) -> Unit,
    ): Attempt {
        val hop = tracing.child(call.context.hop, "attempt", SpanKind.CLIENT)
        hop.span.setAttribute("lacewingweir.endpoint", endpoint.id.value)
        var failed = false
        var detail: String? = null
        try {
            call.context.trace.step("attempt", "service ${endpoint.id}")
            call.context.run.sending()
            val sent = client.open(request(call, endpoint, hop))
            detail = failure(call, sent, last)
            if (detail == null) {
                val response = (sent as ClientResult.Answered).response
                try {
                    use(response)
                } finally {
                    response.close()
                }
                return Attempt.Used
            }
            failed = true
            call.context.trace.step("attempt failed", "service ${endpoint.id}: $detail")
            logger.info { "route: request ${call.context.requestId}: service ${endpoint.id}: $detail" }
            return Attempt.Failed(detail)
        } finally {
            endpoints.finished(endpoint, failed)
            hop.end(detail)
        }
    }

    /** Why the attempt gave no answer for the caller, or null if it did. Brings the run state up to date. */
    private fun failure(
        call: ServiceCall,
        sent: ClientResult,
        last: Boolean,
    ): String? {
        val run = call.context.run
        return when (sent) {
            is ClientResult.NotSent -> {
                run.notRun()
                "not sent: ${sent.reason}"
            }
            is ClientResult.Unknown -> "no answer: ${sent.reason}"
            is ClientResult.Answered -> {
                val response = sent.response
                val notRun = response.status >= FIRST_ERROR && response.headers.get(RUN_HEADER) == "not-run"
                if (notRun) {
                    run.notRun()
                } else if (response.status < FIRST_ERROR) {
                    run.ran()
                }
                val retry = notRun && !last && response.status >= FIRST_SERVER_ERROR
                if (retry) response.close()
                "refused with ${response.status}, not run".takeIf { retry }
            }
        }
    }

    private fun request(
        call: ServiceCall,
        endpoint: Endpoint,
        hop: GatewayTracing.Hop,
    ): ClientRequest =
        ClientRequest(
            host = endpoint.host,
            port = endpoint.port,
            method = call.method,
            path = call.target,
            headers = call.headers + tracing.headers(hop),
            body = call.body,
            freshConnection = !call.route.repeatable,
            headTimeoutMillis = call.route.deadlineMillis,
        )

    private companion object {
        const val REPEATABLE_ATTEMPTS: Int = 2
        const val FIRST_ERROR: Int = 400
        const val FIRST_SERVER_ERROR: Int = 500
        const val RUN_HEADER: String = "X-Run"
    }
}
