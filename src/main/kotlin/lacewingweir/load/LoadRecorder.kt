package lacewingweir.load

import org.HdrHistogram.ConcurrentHistogram
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.LongAdder

/** Collects [AnswerResult]s of a run by customer and stream. Safe for concurrent use. */
public class LoadRecorder {
    private class Figures {
        val sent = LongAdder()
        val whole = LongAdder()
        val refused = ConcurrentHashMap<Int, LongAdder>()
        val explicitErrors = LongAdder()
        val broken = LongAdder()
        val promptTokens = LongAdder()
        val cachedTokens = LongAdder()
        val answerTokens = LongAdder()
        val firstTokenMicros = ConcurrentHistogram(MAX_MICROS, SIGNIFICANT_DIGITS)
    }

    private val byStream = ConcurrentHashMap<Pair<String, String>, Figures>()
    private val total = Figures()
    private val errors = ConcurrentLinkedQueue<String>()

    /** Counts one finished request. */
    public fun record(
        customer: String,
        label: String,
        result: AnswerResult,
    ) {
        count(byStream.computeIfAbsent(customer to label) { Figures() }, result)
        count(total, result)
        val text =
            when (result) {
                is AnswerResult.Broken -> "$customer: ${result.reason}"
                is AnswerResult.ExplicitError -> "$customer: ${result.message}"
                is AnswerResult.Refused, is AnswerResult.Whole -> null
            }
        if (text != null && errors.size < MAX_ERRORS) errors.add(text)
    }

    private fun count(
        figures: Figures,
        result: AnswerResult,
    ) {
        figures.sent.increment()
        when (result) {
            is AnswerResult.Whole -> countWhole(figures, result)
            is AnswerResult.Refused -> figures.refused.computeIfAbsent(result.status) { LongAdder() }.increment()
            is AnswerResult.ExplicitError -> figures.explicitErrors.increment()
            is AnswerResult.Broken -> figures.broken.increment()
        }
    }

    private fun countWhole(
        figures: Figures,
        result: AnswerResult.Whole,
    ) {
        figures.whole.increment()
        figures.promptTokens.add(result.promptTokens)
        figures.cachedTokens.add(result.cachedTokens)
        figures.answerTokens.add(result.answerTokens)
        val micros = (result.firstTokenMillis * MICROS_PER_MILLI).toLong()
        figures.firstTokenMicros.recordValue(micros.coerceIn(1, MAX_MICROS))
    }

    /** The figures so far. */
    public fun report(scenario: LoadScenario): LoadReport {
        val streams = byStream.entries.map { (key, figures) -> summary(key.first, key.second, figures) }
        val customerP99 = streams.filter { it.whole > 0 }.map { it.firstTokenP99 }.sorted()
        val median = customerP99.getOrNull(customerP99.size / 2) ?: 0.0
        return LoadReport(
            scenario = scenario.name,
            seed = scenario.seed,
            total = summary("all", "all", total),
            streams = streams.sortedWith(compareBy({ it.customer }, { it.label })),
            worstToMedianP99 = if (median == 0.0) 0.0 else customerP99.last() / median,
            firstErrors = errors.toList(),
        )
    }

    private fun summary(
        customer: String,
        label: String,
        figures: Figures,
    ): StreamReport =
        StreamReport(
            customer = customer,
            label = label,
            sent = figures.sent.sum(),
            whole = figures.whole.sum(),
            refused = figures.refused.mapValues { it.value.sum() }.toSortedMap(),
            explicitErrors = figures.explicitErrors.sum(),
            broken = figures.broken.sum(),
            firstTokenP50 = millisAt(figures, P50),
            firstTokenP99 = millisAt(figures, P99),
            firstTokenP999 = millisAt(figures, P999),
            promptTokens = figures.promptTokens.sum(),
            cachedTokens = figures.cachedTokens.sum(),
            answerTokens = figures.answerTokens.sum(),
        )

    private fun millisAt(
        figures: Figures,
        percentile: Double,
    ): Double = figures.firstTokenMicros.getValueAtPercentile(percentile) / MICROS_PER_MILLI

    private companion object {
        const val MAX_MICROS: Long = 120_000_000
        const val SIGNIFICANT_DIGITS: Int = 3
        const val MICROS_PER_MILLI: Double = 1_000.0
        const val MAX_ERRORS: Int = 20
        const val P50: Double = 50.0
        const val P99: Double = 99.0
        const val P999: Double = 99.9
    }
}
