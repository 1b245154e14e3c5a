package lacewingweir.load

import org.HdrHistogram.ConcurrentHistogram
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.LongAdder

/** Aggregates the [RequestOutcome]s of a run by customer and stream. Thread-safe. */
public class LoadRecorder {
    private class StreamMetrics {
        val sent = LongAdder()
        val complete = LongAdder()
        val refused = ConcurrentHashMap<Int, LongAdder>()
        val explicitErrors = LongAdder()
        val broken = LongAdder()
        val promptTokens = LongAdder()
        val cachedTokens = LongAdder()
        val answerTokens = LongAdder()
        val firstTokenMicros = ConcurrentHistogram(MAX_MICROS, SIGNIFICANT_DIGITS)
    }

    private val metricsByStream = ConcurrentHashMap<Pair<String, String>, StreamMetrics>()
    private val total = StreamMetrics()
    private val errorMessages = ConcurrentLinkedQueue<String>()

    /** Adds the outcome of a request. */
    public fun record(
        customer: String,
        label: String,
        outcome: RequestOutcome,
    ) {
        count(metricsByStream.computeIfAbsent(customer to label) { StreamMetrics() }, outcome)
        count(total, outcome)
        val error =
            when (outcome) {
                is RequestOutcome.Broken -> "$customer: ${outcome.reason}"
                is RequestOutcome.ExplicitError -> "$customer: ${outcome.message}"
                is RequestOutcome.Refused, is RequestOutcome.Complete -> null
            }
        if (error != null && errorMessages.size < MAX_ERROR_MESSAGES) errorMessages.add(error)
    }

    private fun count(
        metrics: StreamMetrics,
        outcome: RequestOutcome,
    ) {
        metrics.sent.increment()
        when (outcome) {
            is RequestOutcome.Complete -> countComplete(metrics, outcome)
            is RequestOutcome.Refused -> metrics.refused.computeIfAbsent(outcome.status) { LongAdder() }.increment()
            is RequestOutcome.ExplicitError -> metrics.explicitErrors.increment()
            is RequestOutcome.Broken -> metrics.broken.increment()
        }
    }

    private fun countComplete(
        metrics: StreamMetrics,
        outcome: RequestOutcome.Complete,
    ) {
        metrics.complete.increment()
        metrics.promptTokens.add(outcome.promptTokens)
        metrics.cachedTokens.add(outcome.cachedTokens)
        metrics.answerTokens.add(outcome.answerTokens)
        val micros = (outcome.firstTokenMillis * MICROS_PER_MILLI).toLong()
        metrics.firstTokenMicros.recordValue(micros.coerceIn(1, MAX_MICROS))
    }

    /** Returns a report on all outcomes added so far. */
    public fun report(scenario: LoadScenario): LoadReport {
        val streams = metricsByStream.entries.map { (key, metrics) -> streamReport(key.first, key.second, metrics) }
        val streamP99s = streams.filter { it.complete > 0 }.map { it.firstTokenP99 }.sorted()
        val medianP99 = streamP99s.getOrNull(streamP99s.size / 2) ?: 0.0
        return LoadReport(
            scenario = scenario.name,
            seed = scenario.seed,
            total = streamReport("all", "all", total),
            streams = streams.sortedWith(compareBy({ it.customer }, { it.label })),
            worstToMedianP99 = if (medianP99 == 0.0) 0.0 else streamP99s.last() / medianP99,
            firstErrors = errorMessages.toList(),
        )
    }

    private fun streamReport(
        customer: String,
        label: String,
        metrics: StreamMetrics,
    ): StreamReport =
        StreamReport(
            customer = customer,
            label = label,
            sent = metrics.sent.sum(),
            complete = metrics.complete.sum(),
            refused = metrics.refused.mapValues { it.value.sum() }.toSortedMap(),
            explicitErrors = metrics.explicitErrors.sum(),
            broken = metrics.broken.sum(),
            firstTokenP50 = percentileMillis(metrics, P50),
            firstTokenP99 = percentileMillis(metrics, P99),
            firstTokenP999 = percentileMillis(metrics, P999),
            promptTokens = metrics.promptTokens.sum(),
            cachedTokens = metrics.cachedTokens.sum(),
            answerTokens = metrics.answerTokens.sum(),
        )

    private fun percentileMillis(
        metrics: StreamMetrics,
        percentile: Double,
    ): Double = metrics.firstTokenMicros.getValueAtPercentile(percentile) / MICROS_PER_MILLI

    private companion object {
        const val MAX_MICROS: Long = 120_000_000
        const val SIGNIFICANT_DIGITS: Int = 3
        const val MICROS_PER_MILLI: Double = 1_000.0
        const val MAX_ERROR_MESSAGES: Int = 20
        const val P50: Double = 50.0
        const val P99: Double = 99.0
        const val P999: Double = 99.9
    }
}
