package lacewingweir.coordination.routing

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.model.registry.PrometheusRegistry

/** The metrics of one instance's engine scheduler. */
internal class RoutingMetrics(
    registry: PrometheusRegistry,
) {
    val granted: Counter =
        Counter
            .builder()
            .name("lacewingweir_engine_grants_total")
            .help("Attempts sent to engines.")
            .register(registry)

    val attempts: Counter =
        Counter
            .builder()
            .name("lacewingweir_engine_attempts_total")
            .help("Attempts on engines by outcome.")
            .labelNames("outcome")
            .register(registry)

    val refused: Counter =
        Counter
            .builder()
            .name("lacewingweir_schedule_refusals_total")
            .help("Requests that were refused an engine, by reason.")
            .labelNames("reason")
            .register(registry)

    val retries: Counter =
        Counter
            .builder()
            .name("lacewingweir_retry_budget_draws_total")
            .help("Retries drawn from the retry budget.")
            .register(registry)

    val promptTokens: Counter =
        Counter
            .builder()
            .name("lacewingweir_prompt_tokens_total")
            .help("Prompt tokens of answered requests.")
            .register(registry)

    val cachedTokens: Counter =
        Counter
            .builder()
            .name("lacewingweir_cached_prompt_tokens_total")
            .help("Prompt tokens that engines served from their prefix cache.")
            .register(registry)

    val queueSeconds: Histogram =
        Histogram
            .builder()
            .name("lacewingweir_queue_seconds")
            .help("Time that requests waited for an engine in seconds, by traffic class.")
            .labelNames("class")
            .classicOnly()
            .classicUpperBounds(0.001, 0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0)
            .register(registry)
}
