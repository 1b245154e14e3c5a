package lacewingweir.cli.measure

/** Formats measurement results as Markdown tables. */
internal object MeasureTable {
    const val HEADER: String =
        "| site | scenario | policy | seed | requests | hit rate | oracle | p50 ms | p99 ms | p99.9 ms | " +
            "recomputed | worst/median | errors | broken | refused | wrongful |\n" +
            "|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|"

    fun row(result: CellResult): String =
        listOf(
            result.site,
            result.scenario,
            result.policy,
            result.seed.toString(),
            result.sent.toString(),
            "%.3f".format(result.hitRate),
            "%.3f".format(result.oracleHitRate),
            "%.0f".format(result.firstTokenP50),
            "%.0f".format(result.firstTokenP99),
            "%.0f".format(result.firstTokenP999),
            "%.2f".format(result.recomputedOverMinimum),
            "%.2f".format(result.worstOverMedian),
            result.explicitErrors.toString(),
            result.broken.toString(),
            result.refusals.entries
                .joinToString(" ") { "${it.key}:${it.value}" }
                .ifEmpty { "0" },
            "%.2f%%".format(result.wrongfulRefusals * PERCENT),
        ).joinToString(" | ", "| ", " |")

    fun overhead(result: OverheadResult): String =
        """
        | calls | p50 ms | p99 ms |
        |---|---|---|
        | direct | ${"%.2f".format(result.directP50)} | ${"%.2f".format(result.directP99)} |
        | through an instance | ${"%.2f".format(result.throughP50)} | ${"%.2f".format(result.throughP99)} |
        | difference | ${"%.2f".format(result.throughP50 - result.directP50)} | ${
            "%.2f".format(result.throughP99 - result.directP99)
        } |

        ${result.requests} requests, ${result.incomplete} without a whole answer.
        """.trimIndent()

    private const val PERCENT: Double = 100.0
}
