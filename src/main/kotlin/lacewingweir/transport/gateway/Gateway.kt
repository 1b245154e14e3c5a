/*
 * Processing of caller requests: authentication, routing, rate admission, scheduling, attempts on endpoints, and
 * exactly one terminal response.
 *
 * The state of one request is kept in its RequestContext. A request is stopped by cancelling its coroutine, so each
 * step releases its resources (reservation, lease, engine connection) in a finally block.
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
 * Processes the requests of callers. [handle] is the handler of the caller-facing HTTP server.
 *
 * [cacheSaltSecret] is the fleet secret from which cache salts are derived; it must be the same on all instances.
 * [serviceClient] sends calls to plain services. [scope] runs work that may outlive a request, such as cancel commands
 * and claimed calls. [leaving] tells which service endpoints must not receive new calls.
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
            endpointSelector = ServiceEndpointSelector(clock, leaving),
            metrics = metrics,
            tracing = tracing,
            settings = settings,
            background = scope,
        )
    private val routeTable = AtomicReference<RouteTable?>(null)
    private val modelsHandler = ModelsHandler(authenticator)
    private val chatHandler =
        ChatHandler(
            authenticator = authenticator,
            rates = rates,
            relay =
                CompletionRelay(
                    bundles = bundles,
                    scheduler = scheduler,
                    engines = engines,
                    saltDeriver = CacheSaltDeriver(cacheSaltSecret),
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

    /** Processes one request and sends exactly one terminal response. */
    public suspend fun handle(exchange: ServerExchange) {
        val context = createContext(exchange)
        exchange.onDisconnect { context.stopSignal.stop(StopReason.CALLER_DISCONNECTED) }
        try {
            if (context.bundle.number == BundleNumber.NONE) {
                context.refuse(Refusal.unavailable("no_bundle", "This instance has no configuration yet."))
            } else {
                dispatch(context)
            }
        } catch (e: CancellationException) {
            context.recordOutcome("cancelled", "the instance stops")
            throw e
        } catch (e: PeerClosedException) {
            logger.debug { "route: request ${context.requestId}: ${e.message}" }
            context.recordOutcome("disconnected", "the caller left")
        } catch (e: Exception) {
            handleFailure(context, e)
        } finally {
            metrics.requestFinished(
                context.trafficClassLabel,
                context.trace.outcome ?: "unanswered",
                context.trace.customer,
                context.bundle,
            )
            context.traceSpan.end(context.trace.outcome?.takeIf { it != "completed" })
        }
    }

    private suspend fun dispatch(context: RequestContext) {
        val exchange = context.exchange
        when {
            exchange.method == "POST" && exchange.path == "/v1/chat/completions" -> chatHandler.handle(context)
            exchange.method == "GET" && exchange.path == "/v1/models" -> modelsHandler.handle(context)
            exchange.path.startsWith("/services/") -> serviceHandler.handle(context)
            else -> context.refuse(Refusal.notFound("unknown_path", "There is nothing at this path."))
        }
    }

    private suspend fun handleFailure(
        context: RequestContext,
        cause: Exception,
    ) {
        logger.error(cause) { "route: request ${context.requestId} failed with an internal error" }
        context.recordOutcome("internal_error", cause.javaClass.simpleName)
        if (context.response.started || context.response.isEnded) {
            context.response.abort()
        } else {
            val error = ErrorObject("The router failed.", "internal_error", "internal_error")
            context.response.refuse(Refusal(STATUS_INTERNAL_ERROR, error), context.runTracker.state)
        }
    }

    private fun createContext(exchange: ServerExchange): RequestContext {
        val requestId = RequestId(UUID.randomUUID().toString().replace("-", ""))
        val runTracker = RunStateTracker()
        val trace = RequestTrace(requestId, clock, runTracker, settings.maxRecordSteps)
        requests.add(trace)
        val traceSpan = tracing.startServerSpan(exchange.headers, "request")
        traceSpan.span.setAttribute("lacewingweir.request_id", requestId.value)
        return RequestContext(
            exchange,
            requestId,
            currentTable(),
            trace,
            runTracker,
            CallerResponse(exchange, requestId),
            traceSpan,
        )
    }

    private fun currentTable(): RouteTable {
        val bundle = bundles.current() ?: EMPTY_BUNDLE
        routeTable.get()?.takeIf { it.bundle === bundle }?.let { return it }
        return RouteTable(bundle).also(routeTable::set)
    }

    private companion object {
        const val STATUS_INTERNAL_ERROR: Int = 500
        val EMPTY_BUNDLE: Bundle = Bundle(BundleNumber.NONE, emptyList(), emptyList(), emptyList(), emptyList())
    }
}
