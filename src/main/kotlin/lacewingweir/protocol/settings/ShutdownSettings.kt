package lacewingweir.protocol.settings

/**
 * Delays of a graceful shutdown: [balancerMillis] between becoming unready and no longer accepting, so that the
 * balancer notices first, and [drainMillis] as the longest wait for running requests.
 */
public data class ShutdownSettings(
    val balancerMillis: Long = 3_000,
    val drainMillis: Long = 120_000,
)
