package lacewingweir.transport.gateway

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.model.registry.PrometheusRegistry
import lacewingweir.protocol.engine.DropReason
import lacewingweir.state.bundle.Bundle
import lacewingweir.state.id.CustomerId

/**
 * Metrics of request processing.
 *
 * A customer's id is used as a label value only if the bundle lists the customer, which bounds the number of series.
 */
public class GatewayMetrics(
    registry: PrometheusRegistry = PrometheusRegistry(),
) {
    private val requests =
        counter(registry, "requests", "Requests by route class, outcome and customer.", "class", "outcome", "customer")
    private val retries = counter(registry, "retries", "Attempts after the first one, by route class.", "class")
    private val resumes = counter(registry, "resumes", "Streams resumed after their start, by cause.", "cause")
    private val withdrawalCancels =
        counter(registry, "withdrawal_cancels", "Requests stopped because their key was withdrawn.")
    private val callerDisconnects =
        counter(registry, "caller_disconnects", "Requests whose caller disconnected before the end.")
    private val droppedResponses =
        counter(
            registry,
            "engine_answers_dropped",
            "Engine responses dropped after a failed check, by reason.",
            "reason",
        )
    private val timeToFirstToken =
        Histogram
            .builder()
            .name("lacewingweir_time_to_first_token_seconds")
            .help("Time from the request's arrival to the first token, by route class.")
            .labelNames("class")
            .classicUpperBounds(0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.35, 0.5, 0.75, 1.0, 1.5, 2.0, 3.0, 5.0, 10.0, 30.0)
            .register(registry)

    internal fun requestFinished(
        trafficClassLabel: String,
        outcome: String,
        customer: CustomerId?,
        bundle: Bundle?,
    ) {
        val customerLabel =
            when {
                customer == null -> "none"
                bundle?.customer(customer) == null -> "other"
                else -> customer.value
            }
        requests.labelValues(trafficClassLabel, outcome, customerLabel).inc()
    }

    internal fun firstTokenReceived(
        trafficClassLabel: String,
        millis: Long,
    ) {
        timeToFirstToken.labelValues(trafficClassLabel).observe(millis / MILLIS_PER_SECOND)
    }

    internal fun requestRetried(trafficClassLabel: String) {
        retries.labelValues(trafficClassLabel).inc()
    }

    internal fun streamResumed(cause: String) {
        resumes.labelValues(cause).inc()
    }

    internal fun requestStopped(reason: StopReason) {
        if (reason == StopReason.KEY_WITHDRAWN) withdrawalCancels.inc() else callerDisconnects.inc()
    }

    internal fun responseDropped(reason: DropReason) {
        droppedResponses.labelValues(reason.label).inc()
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
