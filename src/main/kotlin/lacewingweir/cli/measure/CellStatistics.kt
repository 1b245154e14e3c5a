package lacewingweir.cli.measure

import lacewingweir.load.RequestOutcome
import kotlin.math.ceil

/** Computes the [CellResult] of a cell from its requests. */
internal object CellStatistics {
    private const val P50: Double = 0.5
    private const val P99: Double = 0.99
    private const val P999: Double = 0.999
    private const val MAX_BROKEN_LISTED: Int = 5
    private const val MILLIS_PER_SECOND: Double = 1_000.0

    /** Returns the result of [cell]; only requests that were due at or after [warmupSeconds] are counted. */
    fun of(
        cell: Cell,
        allSamples: List<RequestSample>,
        warmupSeconds: Double,
    ): CellResult {
        val samples = allSamples.filter { it.dueSeconds >= warmupSeconds }
        val completed = samples.mapNotNull { it.outcome as? RequestOutcome.Complete }
        val promptTokens = completed.sumOf { it.promptTokens }.coerceAtLeast(1)
        val cachedTokens = completed.sumOf { it.cachedTokens }
        val oracleTokens = oracleTokens(cell, allSamples, warmupSeconds)
        val withinRate = samples.filter { isWithinRate(cell, it) }
        val firstTokenMillis = sortedFirstTokenMillis(withinRate)
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
            firstTokenP50 = percentile(firstTokenMillis, P50),
            firstTokenP99 = percentile(firstTokenMillis, P99),
            firstTokenP999 = percentile(firstTokenMillis, P999),
            recomputedOverMinimum =
                (promptTokens - cachedTokens).toDouble() / (promptTokens - oracleTokens).coerceAtLeast(1),
            worstOverMedian = worstOverMedian(withinRate),
            explicitErrors = samples.count { it.outcome is RequestOutcome.ExplicitError },
            broken = broken.size,
            refusals = refusals.groupingBy { it.status }.eachCount().toSortedMap(),
            wrongfulRefusals =
                withinRate.count { it.outcome is RequestOutcome.Refused }.toDouble() / withinRate.size.coerceAtLeast(1),
            firstBroken = broken.take(MAX_BROKEN_LISTED).map { it.reason },
        )
    }

    /**
     * Returns the smallest of the sorted [values] that at least [fraction] of them don't exceed (nearest rank), or zero
     * if [values] is empty.
     */
    fun percentile(
        values: List<Double>,
        fraction: Double,
    ): Double = values.getOrElse((ceil(values.size * fraction).toInt() - 1).coerceAtLeast(0)) { 0.0 }

    private fun isWithinRate(
        cell: Cell,
        sample: RequestSample,
    ): Boolean = cell.scenario != MeasurementScenario.FLOOD || sample.customer != MeasurementSite.FLOODING_CUSTOMER

    private fun sortedFirstTokenMillis(samples: List<RequestSample>): List<Double> =
        samples
            .filter { it.label == MeasurementSite.INTERACTIVE_LABEL }
            .mapNotNull { (it.outcome as? RequestOutcome.Complete)?.firstTokenMillis }
            .sorted()

    /** Returns the highest p99 of all customers divided by their median p99, or zero if the median is zero. */
    private fun worstOverMedian(samples: List<RequestSample>): Double {
        val customerP99s =
            samples
                .groupBy { it.customer }
                .values
                .map { percentile(sortedFirstTokenMillis(it), P99) }
                .sorted()
        val median = percentile(customerP99s, P50)
        return if (median == 0.0) 0.0 else customerP99s.last() / median
    }

    /**
     * Returns the number of prompt tokens that the oracle had cached, summed over the completed requests that were due
     * at or after [warmupSeconds]. Earlier requests only fill the oracle's cache.
     */
    private fun oracleTokens(
        cell: Cell,
        samples: List<RequestSample>,
        warmupSeconds: Double,
    ): Long {
        val oracle =
            OracleCache(cell.site.totalCachePieces, MeasurementSite.IDLE_EVICTION_MILLIS / MILLIS_PER_SECOND)
        var tokens = 0L
        for (sample in samples.filter { it.outcome is RequestOutcome.Complete }.sortedBy { it.dueSeconds }) {
            val hits = oracle.serve(sample.pieces, sample.dueSeconds)
            if (sample.dueSeconds >= warmupSeconds) tokens += hits.toLong() * MeasurementSite.PIECE_TOKENS
        }
        return tokens
    }
}
