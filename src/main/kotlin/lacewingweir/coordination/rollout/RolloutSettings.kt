package lacewingweir.coordination.rollout

/**
 * Settings of a [RolloutAgent].
 *
 * The leader renews its leadership every [periodMillis] and holds it for [leaseMillis] after each successful renewal.
 * [commandMillis] is the maximum duration of a command. No command is sent when less than this remains of the
 * leadership. [parallelReports] limits the number of status requests in flight.
 */
public data class RolloutSettings(
    val periodMillis: Long = 3_000,
    val leaseMillis: Long = 9_000,
    val commandMillis: Long = 2_000,
    val parallelReports: Int = 128,
) {
    init {
        require(leaseMillis > 2 * periodMillis + commandMillis) { "leaseMillis must cover two missed renewals" }
        require(parallelReports > 0) { "parallelReports must be positive" }
    }
}
