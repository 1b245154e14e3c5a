package lacewingweir.cli.measure

/**
 * One cell of the measurement matrix: a site, a scenario, a placement policy and a seed.
 *
 * [seconds] is the measured time. It starts after the warm-up.
 */
internal data class Cell(
    val site: MeasurementSite,
    val scenario: MeasurementScenario,
    val policy: String,
    val seed: Long,
    val seconds: Double,
)
