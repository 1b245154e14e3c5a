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

/** Spans of the request path. Only `traceparent` is read and passed on, since other headers may hold secrets. */
internal class GatewayTracing(
    openTelemetry: OpenTelemetry,
) {
    private val tracer = openTelemetry.getTracer("lacewingweir.gateway")
    private val propagator = W3CTraceContextPropagator.getInstance()

    fun server(
        headers: HttpHeaders,
        name: String,
    ): Hop {
        val parent = propagator.extract(Context.root(), headers, GETTER)
        return start(parent, name, SpanKind.SERVER)
    }

    fun child(
        parent: Hop,
        name: String,
        kind: SpanKind = SpanKind.INTERNAL,
    ): Hop = start(parent.context, name, kind)

    fun headers(hop: Hop): List<Pair<String, String>> {
        val headers = ArrayList<Pair<String, String>>(1)
        propagator.inject(hop.context, headers, SETTER)
        return headers
    }

    private fun start(
        parent: Context,
        name: String,
        kind: SpanKind,
    ): Hop {
        val span =
            tracer
                .spanBuilder(name)
                .setParent(parent)
                .setSpanKind(kind)
                .startSpan()
        return Hop(span, parent.with(span))
    }

    /** One span with the context that its children start from. */
    internal class Hop(
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
