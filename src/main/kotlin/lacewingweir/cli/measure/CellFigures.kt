package lacewingweir.cli.measure

import lacewingweir.load.RequestOutcome
import kotlin.math.ceil

/** Computes a [CellResult] from the requests of a cell. */
internal object CellFigures {
    private const val P50: Double = 0.5
    private const val P99: Double = 0.99
    private const val P999: Double = 0.999
    private const val MAX_BROKEN_SHOWN: Int = 5
    private const val MILLIS_PER_SECOND: Double = 1_000.0

    fun of(
        cell: Cell,
        all: List<Sample>,
        warmupSeconds: Double,
    ): CellResult {
        val samples = all.filter { it.dueSeconds >= warmupSeconds }
        val whole = samples.mapNotNull { it.outcome as? RequestOutcome.Complete }
        val promptTokens = whole.sumOf { it.promptTokens }.coerceAtLeast(1)
        val cachedTokens = whole.sumOf { it.cachedTokens }
        val oracleTokens = oracleTokens(cell, all, warmupSeconds)
        val within = samples.filter { withinRate(cell, it) }
        val times = firstTokenTimes(within)
        val broken = samples.mapNotNull { it.outcome as? RequestOutcome.Broken }
        val refusals = samples.mapNotNull { it.outcome as? RequestOutcome.Refused }
        return CellResult(
            site = cell.site.label,
            scenario = cell.scenario.label,
            policy = cell.policy,
            seed = cell.seed,
            sent = samples.size,
            hitRate = cachedTokens.toDouble() / promptTokens,
            oracleHitRate = oracleTokens.toDouble() / promptTokens,
            firstTokenP50 = percentile(times, P50),
            firstTokenP99 = percentile(times, P99),
            firstTokenP999 = percentile(times, P999),
            recomputedOverMinimum =
                (promptTokens - cachedTokens).toDouble() / (promptTokens - oracleTokens).coerceAtLeast(1),
            worstOverMedian = worstOverMedian(within),
            explicitErrors = samples.count { it.outcome is RequestOutcome.ExplicitError },
            broken = broken.size,
            refusals = refusals.groupingBy { it.status }.eachCount().toSortedMap(),
            wrongfulRefusals =
                within.count { it.outcome is RequestOutcome.Refused }.toDouble() / within.size.coerceAtLeast(1),
            firstBroken = broken.take(MAX_BROKEN_SHOWN).map { it.reason },
        )
    }

    /** The value that [share] of the sorted [values] don't exceed; zero without values. */
    fun percentile(
        values: List<Double>,
        share: Double,
    ): Double = values.getOrElse((ceil(values.size * share).toInt() - 1).coerceAtLeast(0)) { 0.0 }

    private fun withinRate(
        cell: Cell,
        sample: Sample,
    ): Boolean = cell.scenario != MeasuredScenario.FLOOD || sample.customer != MeasuredSite.FLOODING_CUSTOMER

    private fun firstTokenTimes(samples: List<Sample>): List<Double> =
        samples
            .filter { it.label == MeasuredSite.INTERACTIVE_LABEL }
            .mapNotNull { (it.outcome as? RequestOutcome.Complete)?.firstTokenMillis }
            .sorted()

    private fun worstOverMedian(samples: List<Sample>): Double {
        val p99 =
            samples
                .groupBy { it.customer }
                .values
                .map { percentile(firstTokenTimes(it), P99) }
                .sorted()
        val median = percentile(p99, P50)
        return if (median == 0.0) 0.0 else p99.last() / median
    }

    /** Prompt tokens that the oracle takes from its cache, for the same requests that got their whole answer. */
    private fun oracleTokens(
        cell: Cell,
        samples: List<Sample>,
        warmupSeconds: Double,
    ): Long {
        val oracle =
            OracleCache(cell.site.totalCachePieces, MeasuredSite.IDLE_EVICTION_MILLIS / MILLIS_PER_SECOND)
        var tokens = 0L
        for (sample in samples.filter { it.outcome is RequestOutcome.Complete }.sortedBy { it.dueSeconds }) {
            val hits = oracle.serve(sample.pieces, sample.dueSeconds)
            if (sample.dueSeconds >= warmupSeconds) tokens += hits.toLong() * MeasuredSite.PIECE_TOKENS
        }
        return tokens
    }
}
