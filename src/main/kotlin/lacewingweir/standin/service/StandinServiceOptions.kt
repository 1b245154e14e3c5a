package lacewingweir.standin.service

/**
 * Options of a [StandinService].
 *
 * Port zero binds a free port. [name] appears in answers. With [capture] the statistics contain all requests.
 */
public data class StandinServiceOptions(
    val host: String = "127.0.0.1",
    val port: Int = 0,
    val name: String = "service",
    val workMillis: Long = 0,
    val capture: Boolean = false,
)
