package lacewingweir.coordination.rate

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.model.registry.PrometheusRegistry

/** Counters of a [RateAgent], registered in [registry]. */
public class RateMetrics(
    registry: PrometheusRegistry = PrometheusRegistry.defaultRegistry,
) {
    internal val admitted: Counter = counter(registry, "rate_admitted", "Requests admitted.")
    internal val refused: Counter = counter(registry, "rate_refused", "Requests refused, by reason.", "reason")
    internal val loans: Counter = counter(registry, "rate_loans", "Loan events, by side and step.", "side", "step")
    internal val overdraftTokens: Counter =
        counter(registry, "rate_overdraft_tokens", "Tokens consumed beyond reservations.")

    /** Returns the number of admitted requests. */
    public fun admittedCount(): Long = admitted.longValue

    /** Returns the number of requests refused for [reason]. */
    public fun refusedCount(reason: String): Long = refused.labelValues(reason).longValue

    /** Returns the number of times that loans of [side] (`lender` or `borrower`) reached [step]. */
    public fun loanCount(
        side: String,
        step: String,
    ): Long = loans.labelValues(side, step).longValue

    /** Returns the number of tokens consumed beyond reservations. */
    public fun overdraftCount(): Long = overdraftTokens.longValue

    private companion object {
        private fun counter(
            registry: PrometheusRegistry,
            name: String,
            help: String,
            vararg labels: String,
        ): Counter =
            Counter
                .builder()
                .name(name)
                .help(help)
                .labelNames(*labels)
                .register(registry)
    }
}
