package lacewingweir.transport.gateway

import io.netty.handler.codec.http.HttpHeaders
import io.opentelemetry.api.OpenTelemetry
import io.opentelemetry.api.trace.Span
import io.opentelemetry.api.trace.SpanKind
import io.opentelemetry.api.trace.StatusCode
import io.opentelemetry.api.trace.propagation.W3CTraceContextPropagator
import io.opentelemetry.context.Context
import io.opentelemetry.context.propagation.TextMapGetter
import io.opentelemetry.context.propagation.TextMapSetter

/**
 * Creates the spans of request processing.
 *
 * Only the `traceparent` header is read and propagated, because other headers may contain secrets.
 */
internal class GatewayTracing(
    openTelemetry: OpenTelemetry,
) {
    private val tracer = openTelemetry.getTracer("lacewingweir.gateway")
    private val propagator = W3CTraceContextPropagator.getInstance()

    fun startServerSpan(
        headers: HttpHeaders,
        name: String,
    ): TraceSpan {
        val parent = propagator.extract(Context.root(), headers, GETTER)
        return startSpan(parent, name, SpanKind.SERVER)
    }

    fun startChildSpan(
        parent: TraceSpan,
        name: String,
        kind: SpanKind = SpanKind.INTERNAL,
    ): TraceSpan = startSpan(parent.context, name, kind)

    fun propagationHeaders(traceSpan: TraceSpan): List<Pair<String, String>> {
        val headers = ArrayList<Pair<String, String>>(1)
        propagator.inject(traceSpan.context, headers, SETTER)
        return headers
    }

    private fun startSpan(
        parent: Context,
        name: String,
        kind: SpanKind,
    ): TraceSpan {
        val span =
            tracer
                .spanBuilder(name)
                .setParent(parent)
                .setSpanKind(kind)
                .startSpan()
        return TraceSpan(span, parent.with(span))
    }

    /** A span and the context with which its children are started. */
    internal class TraceSpan(
        val span: Span,
        val context: Context,
    ) {
        fun end(error: String? = null) {
            if (error != null) span.setStatus(StatusCode.ERROR, error)
            span.end()
        }
    }

    private companion object {
        const val TRACEPARENT: String = "traceparent"

        val GETTER: TextMapGetter<HttpHeaders> =
            object : TextMapGetter<HttpHeaders> {
                override fun keys(carrier: HttpHeaders): Iterable<String> = listOf(TRACEPARENT)

                override fun get(
                    carrier: HttpHeaders?,
                    key: String,
                ): String? = if (key == TRACEPARENT) carrier?.get(key) else null
            }

        val SETTER: TextMapSetter<MutableList<Pair<String, String>>> =
            TextMapSetter { carrier, key, value -> if (key == TRACEPARENT) carrier?.add(key to value) }
    }
}
