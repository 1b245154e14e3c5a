package lacewingweir.transport.gateway

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.model.registry.PrometheusRegistry
import lacewingweir.protocol.engine.DropReason
import lacewingweir.state.bundle.Bundle
import lacewingweir.state.id.CustomerId

/** Metrics of the request path. Customers are a label only if the bundle lists them. */
public class GatewayMetrics(
    registry: PrometheusRegistry = PrometheusRegistry(),
) {
    private val requests =
        counter(registry, "requests", "Requests by route class, outcome and customer.", "class", "outcome", "customer")
    private val retries = counter(registry, "retries", "Attempts after the first one, by class.", "class")
    private val resumes = counter(registry, "resumes", "Streams resumed in the middle, by what asked for it.", "cause")
    private val withdrawn = counter(registry, "withdrawal_cancels", "Requests that ended by a withdrawn key.")
    private val disconnects = counter(registry, "caller_disconnects", "Requests whose caller left before the end.")
    private val dropped = counter(registry, "engine_answers_dropped", "Engine answers dropped, by reason.", "reason")
    private val firstToken =
        Histogram
            .builder()
            .name("lacewingweir_time_to_first_token_seconds")
            .help("Time from the request's arrival to the first token, by route class.")
            .labelNames("class")
            .classicUpperBounds(0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.35, 0.5, 0.75, 1.0, 1.5, 2.0, 3.0, 5.0, 10.0, 30.0)
            .register(registry)

    internal fun finished(
        routeClass: String,
        outcome: String,
        customer: CustomerId?,
        bundle: Bundle?,
    ) {
        val label =
            when {
                customer == null -> "none"
                bundle?.customer(customer) == null -> "other"
                else -> customer.value
            }
        requests.labelValues(routeClass, outcome, label).inc()
    }

    internal fun firstToken(
        routeClass: String,
        millis: Long,
    ) {
        firstToken.labelValues(routeClass).observe(millis / MILLIS_PER_SECOND)
    }

    internal fun retried(routeClass: String) {
        retries.labelValues(routeClass).inc()
    }

    internal fun resumed(cause: String) {
        resumes.labelValues(cause).inc()
    }

    internal fun stopped(reason: StopReason) {
        if (reason == StopReason.WITHDRAWN) withdrawn.inc() else disconnects.inc()
    }

    internal fun dropped(reason: DropReason) {
        dropped.labelValues(reason.label).inc()
    }

    private fun counter(
        registry: PrometheusRegistry,
        name: String,
        help: String,
        vararg labels: String,
    ): Counter =
        Counter
            .builder()
            .name("lacewingweir_$name")
            .help(help)
            .labelNames(*labels)
            .register(registry)

    private companion object {
        const val MILLIS_PER_SECOND: Double = 1_000.0
    }
}
