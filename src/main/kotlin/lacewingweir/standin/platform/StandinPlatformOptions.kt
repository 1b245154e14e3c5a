package lacewingweir.standin.platform

/**
 * Options of a [StandinPlatform].
 *
 * Port zero binds a free port. The limits are per second; a call over a limit is answered with 429. [seed] drives the
 * random faults.
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
