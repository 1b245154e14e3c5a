/*
 * The request path: from a caller's request over key, route, rate and scheduling to attempts on endpoints and the one
 * terminal answer.
 *
 * Everything about one request lives in its RequestContext. A request is stopped by cancelling its work, so each step
 * releases what it holds (reservation, lease, engine connection) in a finally block.
 */
package lacewingweir.transport.gateway

import io.github.oshai.kotlinlogging.KotlinLogging
import io.opentelemetry.api.OpenTelemetry
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import lacewingweir.coordination.bundle.BundleSource
import lacewingweir.coordination.claims.ClaimRegister
import lacewingweir.coordination.keys.KeyAuthenticator
import lacewingweir.coordination.rate.RateAdmission
import lacewingweir.coordination.routing.EngineScheduler
import lacewingweir.coordination.routing.LeavingEndpoints
import lacewingweir.protocol.openai.ErrorObject
import lacewingweir.protocol.resume.ResumeTokenCodec
import lacewingweir.state.bundle.Bundle
import lacewingweir.state.id.BundleNumber
import lacewingweir.state.id.RequestId
import lacewingweir.state.time.MonotonicClock
import lacewingweir.transport.http.HttpClient
import lacewingweir.transport.http.PeerClosedException
import lacewingweir.transport.http.ServerExchange
import java.util.UUID
import java.util.concurrent.atomic.AtomicReference

private val logger = KotlinLogging.logger {}

/**
 * Serves callers. [handle] is the handler of the caller-facing HTTP server.
 *
 * [cacheSaltSecret] is the fleet secret that cache salts are derived from; it must be the same on all instances. [scope]
 * runs work that outlives a request, such as cancel commands. [leaving] names plain services that must get no new
 * work.
 */
public class Gateway(
    private val bundles: BundleSource,
    keys: KeyAuthenticator,
    rates: RateAdmission,
    claims: ClaimRegister,
    scheduler: EngineScheduler,
    engines: EngineAdapter,
    serviceClient: HttpClient,
    resumeTokenCodec: ResumeTokenCodec,
    cacheSaltSecret: ByteArray,
    scope: CoroutineScope,
    private val metrics: GatewayMetrics = GatewayMetrics(),
    private val requests: RequestLog = RequestLog(),
    openTelemetry: OpenTelemetry = OpenTelemetry.noop(),
    private val settings: GatewaySettings = GatewaySettings(),
    private val clock: MonotonicClock = MonotonicClock.SYSTEM,
    leaving: LeavingEndpoints = LeavingEndpoints { false },
) {
    private val tracing = GatewayTracing(openTelemetry)
    private val authenticator = Authenticator(keys)
    private val serviceHandler =
        ServiceHandler(
            authenticator = authenticator,
            claims = claims,
            client = serviceClient,
            endpoints = ServiceEndpoints(clock, leaving),
            metrics = metrics,
            tracing = tracing,
            settings = settings,
            background = scope,
        )
    private val table = AtomicReference<RouteTable?>(null)
    private val models = ModelsHandler(authenticator)
    private val chat =
        ChatHandler(
            authenticator = authenticator,
            rates = rates,
            relay =
                EngineRelay(
                    bundles = bundles,
                    scheduler = scheduler,
                    engines = engines,
                    salts = CacheSalt(cacheSaltSecret),
                    metrics = metrics,
                    tracing = tracing,
                    settings = settings,
                    background = scope,
                    clock = clock,
                ),
            resumeTokenCodec = resumeTokenCodec,
            metrics = metrics,
            settings = settings,
        )

    /** Serves one request and always gives it exactly one terminal answer. */
    public suspend fun handle(exchange: ServerExchange) {
        val context = begin(exchange)
        exchange.onDisconnect { context.stop.stop(StopReason.DISCONNECTED) }
        try {
            if (context.bundle.number == BundleNumber.NONE) {
                context.refuse(Refusal.unavailable("no_bundle", "This instance has no configuration yet."))
            } else {
                dispatch(context)
            }
        } catch (e: CancellationException) {
            context.ended("cancelled", "the instance stops")
            throw e
        } catch (e: PeerClosedException) {
            logger.debug { "route: request ${context.requestId}: ${e.message}" }
            context.ended("disconnected", "the caller left")
        } catch (e: Exception) {
            failed(context, e)
        } finally {
            metrics.finished(
                context.routeClass,
                context.trace.outcome ?: "unanswered",
                context.trace.customer,
                context.bundle,
            )
            context.hop.end(context.trace.outcome?.takeIf { it != "completed" })
        }
    }

    private suspend fun dispatch(context: RequestContext) {
        val exchange = context.exchange
        when {
            exchange.method == "POST" && exchange.path == "/v1/chat/completions" -> chat.handle(context)
            exchange.method == "GET" && exchange.path == "/v1/models" -> models.handle(context)
            exchange.path.startsWith("/services/") -> serviceHandler.handle(context)
            else -> context.refuse(Refusal.notFound("unknown_path", "There is nothing at this path."))
        }
    }

    private suspend fun failed(
        context: RequestContext,
        cause: Exception,
    ) {
        logger.error(cause) { "route: request ${context.requestId} failed inside the router" }
        context.ended("internal_error", cause.javaClass.simpleName)
        if (context.answer.started || context.answer.isEnded) {
            context.answer.abort()
        } else {
            val error = ErrorObject("The router failed.", "internal_error", "internal_error")
            context.answer.refuse(Refusal(STATUS_INTERNAL_ERROR, error), context.run.state)
        }
    }

    private fun begin(exchange: ServerExchange): RequestContext {
        val requestId = RequestId(UUID.randomUUID().toString().replace("-", ""))
        val run = RunTracker()
        val trace = RequestTrace(requestId, clock, run, settings.maxRecordSteps)
        requests.add(trace)
        val hop = tracing.server(exchange.headers, "request")
        hop.span.setAttribute("lacewingweir.request_id", requestId.value)
        return RequestContext(exchange, requestId, currentTable(), trace, run, CallerAnswer(exchange, requestId), hop)
    }

    private fun currentTable(): RouteTable {
        val bundle = bundles.current() ?: EMPTY_BUNDLE
        table.get()?.takeIf { it.bundle === bundle }?.let { return it }
        return RouteTable(bundle).also(table::set)
    }

    private companion object {
        const val STATUS_INTERNAL_ERROR: Int = 500
        val EMPTY_BUNDLE: Bundle = Bundle(BundleNumber.NONE, emptyList(), emptyList(), emptyList(), emptyList())
    }
}
