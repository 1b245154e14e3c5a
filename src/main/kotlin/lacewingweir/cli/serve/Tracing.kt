package lacewingweir.cli.serve

import io.opentelemetry.api.OpenTelemetry
import io.opentelemetry.exporter.otlp.http.trace.OtlpHttpSpanExporter
import io.opentelemetry.sdk.OpenTelemetrySdk
import io.opentelemetry.sdk.trace.SdkTracerProvider
import io.opentelemetry.sdk.trace.export.BatchSpanProcessor

/** Tracing of one instance. Without an endpoint no spans are recorded. */
internal object Tracing {
    /** An OpenTelemetry SDK that exports to the OTLP collector at [endpoint] (a URL). */
    fun open(endpoint: String?): OpenTelemetry {
        if (endpoint == null) return OpenTelemetry.noop()
        val exporter = OtlpHttpSpanExporter.builder().setEndpoint(endpoint).build()
        val provider =
            SdkTracerProvider
                .builder()
                .addSpanProcessor(
                    BatchSpanProcessor.builder(exporter).build(),
                ).build()
        return OpenTelemetrySdk.builder().setTracerProvider(provider).build()
    }
}
