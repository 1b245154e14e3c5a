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

/** Serves plain services under `/services/`. */
internal class ServiceHandler(
    private val authenticator: Authenticator,
    claims: ClaimRegister,
    client: HttpClient,
    endpoints: ServiceEndpoints,
    private val metrics: GatewayMetrics,
    tracing: GatewayTracing,
    settings: GatewaySettings,
    background: CoroutineScope,
) {
    private val sender = ServiceSender(client, endpoints, metrics, tracing)
    private val claimed = ClaimedCalls(claims, sender, settings, background)

    suspend fun handle(context: RequestContext) {
        val exchange = context.exchange
        if (!ServiceCall.isPlainPath(exchange.path, exchange.rawPath)) {
            context.refuse(Refusal.badRequest("ambiguous_path", "The path has dot segments or escaped slashes."))
            return
        }
        val route = context.table.service(exchange.path.removePrefix(PREFIX))
        if (route == null) {
            context.refuse(Refusal.notFound("unknown_path", "There is no service at this path."))
            return
        }
        context.matched(route)
        identify(context, route)
    }

    private suspend fun identify(
        context: RequestContext,
        route: Route,
    ) {
        val found = CallerKey.find(context.exchange.headers)
        if (route.open) {
            checked(ServiceCall.of(context, route, null), found, null)
            return
        }
        when (val identity = authenticator.authenticate(found, context.bundle)) {
            is Authenticator.Result.Refused -> context.refuse(identity.refusal)
            is Authenticator.Result.Accepted -> {
                context.identified(identity.customer.id)
                checked(ServiceCall.of(context, route, identity.customer.id), found, identity.digest)
            }
        }
    }

    private suspend fun checked(
        call: ServiceCall,
        found: CallerKey.Found,
        digest: KeyDigest?,
    ) {
        val key = call.idempotencyKey
        val refusal =
            when {
                found.keys.any { leaks(it, call) } ->
                    Refusal.badRequest("key_in_request", "The path, query, headers or body contain the caller's key.")
                key != null && key.length !in 1..MAX_IDEMPOTENCY_KEY_CHARS ->
                    Refusal.badRequest(
                        "invalid_idempotency_key",
                        "Idempotency-Key: must have 1 to $MAX_IDEMPOTENCY_KEY_CHARS characters.",
                        "Idempotency-Key",
                    )
                else -> null
            }
        if (refusal != null) call.context.refuse(refusal) else serve(call, digest)
    }

    private fun leaks(
        key: CallerKey,
        call: ServiceCall,
    ): Boolean =
        key.occursIn(call.target) ||
            key.occursIn(decoded(call.target)) ||
            key.occursIn(call.body) ||
            call.headers.any { key.occursIn(it.second) }

    private fun decoded(target: String): String =
        try {
            URLDecoder.decode(target, Charsets.UTF_8)
        } catch (_: IllegalArgumentException) {
            target
        }

    private suspend fun serve(
        call: ServiceCall,
        digest: KeyDigest?,
    ) {
        val context = call.context
        val stop =
            authenticator.guarded(context, digest) {
                val key = call.idempotencyKey
                if (call.route.repeatable || key == null) plain(call) else claimed(call, key)
            } ?: return
        metrics.stopped(stop)
        when {
            context.answer.isEnded -> Unit
            stop == StopReason.DISCONNECTED || digest == null -> context.ended("disconnected", "the caller left")
            context.answer.started -> {
                context.ended("broken key_withdrawn", "the key was withdrawn")
                context.answer.abort()
            }
            else -> context.refuse(authenticator.withdrawn(digest))
        }
    }

    private suspend fun plain(call: ServiceCall) {
        val sent = sender.send(call) { relay(call, it) }
        if (sent is ServiceSender.Result.Failed) call.context.refuse(sent.refusal)
    }

    private suspend fun claimed(
        call: ServiceCall,
        key: String,
    ) {
        when (val result = claimed.run(call, key)) {
            is ClaimedCalls.Result.Answered -> stored(call, result.outcome)
            is ClaimedCalls.Result.Refused -> call.context.refuse(result.refusal)
            ClaimedCalls.Result.RunWithoutClaim -> plain(call)
        }
    }

    private suspend fun stored(
        call: ServiceCall,
        outcome: CallOutcome,
    ) {
        val type = outcome.contentType?.let { listOf("Content-Type" to it) }.orEmpty()
        call.context.ended("completed", "service answered ${outcome.status}")
        val body = Base64.getDecoder().decode(outcome.bodyBase64)
        call.context.answer.whole(outcome.status, type + runHeader(call), body)
    }

    private suspend fun relay(
        call: ServiceCall,
        response: ClientResponse,
    ) {
        val context = call.context
        val passed = PASSED_HEADERS.mapNotNull { name -> response.headers.get(name)?.let { name to it } }
        val headers = passed + runHeader(call)
        if (call.method == "HEAD" || response.status in BODYLESS_STATUS) {
            context.ended("completed", "service answered ${response.status}")
            context.answer.whole(response.status, headers, ByteArray(0))
            response.read(DRAIN_TIMEOUT_MILLIS)
            return
        }
        context.answer.startStream(response.status, headers)
        while (true) {
            when (val part = response.read()) {
                is ReadResult.Data -> context.answer.write(part.bytes)
                ReadResult.End -> {
                    context.ended("completed", "service answered ${response.status}")
                    context.answer.finish()
                    return
                }
                is ReadResult.Broken -> {
                    context.ended("broken service_answer", part.reason)
                    context.answer.abort()
                    return
                }
            }
        }
    }

    private fun runHeader(call: ServiceCall): Pair<String, String> =
        CallerAnswer.RUN_HEADER to call.context.run.state.header

    private companion object {
        const val PREFIX: String = "/services/"
        const val MAX_IDEMPOTENCY_KEY_CHARS: Int = 255
        const val DRAIN_TIMEOUT_MILLIS: Long = 100
        val BODYLESS_STATUS: Set<Int> = setOf(204, 304)
        val PASSED_HEADERS: List<String> =
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
