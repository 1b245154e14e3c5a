package lacewingweir.transport.gateway

import kotlinx.coroutines.CoroutineScope
import lacewingweir.coordination.claims.CallOutcome
import lacewingweir.coordination.claims.ClaimRegister
import lacewingweir.state.bundle.Route
import lacewingweir.state.id.KeyDigest
import lacewingweir.transport.http.ClientResponse
import lacewingweir.transport.http.HttpClient
import lacewingweir.transport.http.ReadResult
import java.net.URLDecoder
import java.util.Base64

/** Handles calls to plain services under `/services/`. */
internal class ServiceHandler(
    private val authenticator: Authenticator,
    claims: ClaimRegister,
    client: HttpClient,
    endpointSelector: ServiceEndpointSelector,
    private val metrics: GatewayMetrics,
    tracing: GatewayTracing,
    settings: GatewaySettings,
    background: CoroutineScope,
) {
    private val maxResponseBytes = settings.maxServiceResponseBytes
    private val sender = ServiceSender(client, endpointSelector, metrics, tracing)
    private val claimedCalls = ClaimedCallExecutor(claims, sender, settings, background)

    suspend fun handle(context: RequestContext) {
        val exchange = context.exchange
        if (!ServiceCall.isUnambiguousPath(exchange.path, exchange.rawPath)) {
            context.refuse(Refusal.badRequest("ambiguous_path", "The path has dot segments or escaped slashes."))
            return
        }
        val route = context.routeTable.service(exchange.path.removePrefix(PATH_PREFIX))
        if (route == null) {
            context.refuse(Refusal.notFound("unknown_path", "There is no service at this path."))
            return
        }
        context.recordRoute(route)
        authenticate(context, route)
    }

    private suspend fun authenticate(
        context: RequestContext,
        route: Route,
    ) {
        val extractedKeys = CallerKey.extract(context.exchange.headers)
        if (route.open) {
            validate(ServiceCall.of(context, route, null), extractedKeys, null)
            return
        }
        when (val authentication = authenticator.authenticate(extractedKeys, context.bundle)) {
            is Authenticator.Result.Refused -> context.refuse(authentication.refusal)
            is Authenticator.Result.Accepted -> {
                context.recordCustomer(authentication.customer.id)
                validate(
                    ServiceCall.of(context, route, authentication.customer.id),
                    extractedKeys,
                    authentication.digest,
                )
            }
        }
    }

    private suspend fun validate(
        call: ServiceCall,
        extractedKeys: CallerKey.Extracted,
        keyDigest: KeyDigest?,
    ) {
        val key = call.idempotencyKey
        val refusal =
            when {
                extractedKeys.keys.any { containsKey(it, call) } ->
                    Refusal.badRequest("key_in_request", "The path, query, headers or body contain the caller's key.")
                key != null && key.length !in 1..MAX_IDEMPOTENCY_KEY_CHARS ->
                    Refusal.badRequest(
                        "invalid_idempotency_key",
                        "Idempotency-Key: must have 1 to $MAX_IDEMPOTENCY_KEY_CHARS characters.",
                        "Idempotency-Key",
                    )
                else -> null
            }
        if (refusal != null) call.context.refuse(refusal) else process(call, keyDigest)
    }

    private fun containsKey(
        callerKey: CallerKey,
        call: ServiceCall,
    ): Boolean =
        callerKey.occursIn(call.target) ||
            callerKey.occursIn(decoded(call.target)) ||
            callerKey.occursIn(call.body) ||
            call.headers.any { callerKey.occursIn(it.second) }

    private fun decoded(target: String): String =
        try {
            URLDecoder.decode(target, Charsets.UTF_8)
        } catch (_: IllegalArgumentException) {
            target
        }

    private suspend fun process(
        call: ServiceCall,
        keyDigest: KeyDigest?,
    ) {
        val context = call.context
        val stopReason =
            authenticator.runWhileAuthorized(context, keyDigest) {
                val key = call.idempotencyKey
                if (call.route.repeatable || key == null) sendWithoutClaim(call) else sendWithClaim(call, key)
            } ?: return
        metrics.requestStopped(stopReason)
        when {
            context.response.isEnded -> Unit
            stopReason == StopReason.CALLER_DISCONNECTED || keyDigest == null ->
                context.recordOutcome(
                    "disconnected",
                    "the caller left",
                )
            context.response.started -> {
                context.recordOutcome("broken key_withdrawn", "the key was withdrawn")
                context.response.abort()
            }
            else -> context.refuse(authenticator.withdrawalRefusal(keyDigest))
        }
    }

    private suspend fun sendWithoutClaim(call: ServiceCall) {
        val result = sender.send(call) { relay(call, it) }
        if (result is ServiceSender.Result.Failed) call.context.refuse(result.refusal)
    }

    private suspend fun sendWithClaim(
        call: ServiceCall,
        key: String,
    ) {
        when (val result = claimedCalls.run(call, key)) {
            is ClaimedCallExecutor.Result.Answered -> respondWithOutcome(call, result.outcome)
            is ClaimedCallExecutor.Result.Refused -> call.context.refuse(result.refusal)
            ClaimedCallExecutor.Result.RunWithoutClaim -> sendWithoutClaim(call)
        }
    }

    private suspend fun respondWithOutcome(
        call: ServiceCall,
        outcome: CallOutcome,
    ) {
        val contentTypeHeader = outcome.contentType?.let { listOf("Content-Type" to it) }.orEmpty()
        call.context.recordOutcome("completed", "service answered ${outcome.status}")
        val body = Base64.getDecoder().decode(outcome.bodyBase64)
        call.context.response.respond(outcome.status, contentTypeHeader + runStateHeader(call), body)
    }

    private suspend fun relay(
        call: ServiceCall,
        serviceResponse: ClientResponse,
    ) {
        val context = call.context
        val forwardedHeaders =
            FORWARDED_HEADERS.mapNotNull { name ->
                serviceResponse.headers.get(name)?.let {
                    name to
                        it
                }
            }
        val headers = forwardedHeaders + runStateHeader(call)
        if (call.method == "HEAD" || serviceResponse.status in BODILESS_STATUSES) {
            context.recordOutcome("completed", "service answered ${serviceResponse.status}")
            context.response.respond(serviceResponse.status, headers, ByteArray(0))
            serviceResponse.read(DRAIN_TIMEOUT_MILLIS)
            return
        }
        context.response.startStream(serviceResponse.status, headers)
        var relayedBytes = 0L
        while (true) {
            when (val result = serviceResponse.read()) {
                is ReadResult.Data -> {
                    relayedBytes += result.bytes.size
                    if (relayedBytes > maxResponseBytes) {
                        context.recordOutcome("broken service_answer", "the answer exceeds $maxResponseBytes bytes")
                        context.response.abort()
                        return
                    }
                    context.response.write(result.bytes)
                }
                ReadResult.End -> {
                    context.recordOutcome("completed", "service answered ${serviceResponse.status}")
                    context.response.finish()
                    return
                }
                is ReadResult.Broken -> {
                    context.recordOutcome("broken service_answer", result.reason)
                    context.response.abort()
                    return
                }
            }
        }
    }

    private fun runStateHeader(call: ServiceCall): Pair<String, String> =
        CallerResponse.RUN_STATE_HEADER to call.context.runTracker.state.headerValue

    private companion object {
        const val PATH_PREFIX: String = "/services/"
        const val MAX_IDEMPOTENCY_KEY_CHARS: Int = 255
        const val DRAIN_TIMEOUT_MILLIS: Long = 100
        val BODILESS_STATUSES: Set<Int> = setOf(204, 304)
        val FORWARDED_HEADERS: List<String> =
            listOf(
                "Content-Type",
                "Content-Encoding",
                "Content-Language",
                "Content-Disposition",
                "Cache-Control",
                "ETag",
                "Last-Modified",
                "Location",
                "Retry-After",
                "Vary",
            )
    }
}
