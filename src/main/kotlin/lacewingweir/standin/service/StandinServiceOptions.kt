package lacewingweir.standin.service

/**
 * Options of a [StandinService].
 *
 * @property port the port to bind; zero selects a free port.
 * @property name the service name in responses.
 * @property workMillis the duration of a run.
 * @property capture whether the statistics contain all requests.
 */
public data class StandinServiceOptions(
    val host: String = "127.0.0.1",
    val port: Int = 0,
    val name: String = "service",
    val workMillis: Long = 0,
    val capture: Boolean = false,
)
