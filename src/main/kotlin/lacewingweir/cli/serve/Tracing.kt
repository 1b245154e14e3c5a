package lacewingweir.cli.serve

import io.opentelemetry.api.OpenTelemetry
import io.opentelemetry.exporter.otlp.http.trace.OtlpHttpSpanExporter
import io.opentelemetry.sdk.OpenTelemetrySdk
import io.opentelemetry.sdk.trace.SdkTracerProvider
import io.opentelemetry.sdk.trace.export.BatchSpanProcessor

/** Sets up the tracing of an instance. */
internal object Tracing {
    /** Returns an SDK that exports to the OTLP collector at the URL [endpoint]. Null disables tracing. */
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
