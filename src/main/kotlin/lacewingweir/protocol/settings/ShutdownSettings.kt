package lacewingweir.protocol.settings

/**
 * Delays of a graceful shutdown.
 *
 * @property balancerMillis the time between becoming unready and refusing connections. It lets the load balancer detect
 *   the unready state first.
 * @property drainMillis the maximum time to wait for running requests.
 */
public data class ShutdownSettings(
    val balancerMillis: Long = 3_000,
    val drainMillis: Long = 120_000,
)
