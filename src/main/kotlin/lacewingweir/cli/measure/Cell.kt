package lacewingweir.cli.measure

/** One run of a measurement: [seconds] are counted after a warm-up. */
internal data class Cell(
    val site: MeasuredSite,
    val scenario: MeasuredScenario,
    val policy: String,
    val seed: Long,
    val seconds: Double,
)
