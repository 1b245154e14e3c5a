package lacewingweir.standin.platform

/**
 * Options of a [StandinPlatform].
 *
 * If a port is zero, a free port is chosen. Calls above [writesPerSecond] or [readsPerSecond] are answered with status
 * 429. [seed] initializes the random generator for faults that occur with a probability.
 */
public data class StandinPlatformOptions(
    val host: String = "127.0.0.1",
    val port: Int = 0,
    val controlPort: Int = 0,
    val maxValueBytes: Int = 1_000_000,
    val writesPerSecond: Int = 400,
    val readsPerSecond: Int = 2_000,
    val seed: Long = 1,
)
