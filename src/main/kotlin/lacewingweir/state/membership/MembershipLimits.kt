package lacewingweir.state.membership

/**
 * Periods, timeouts and options of the membership rules.
 *
 * @property heartbeatPeriodMillis period of heartbeats and of attempts to change the epoch
 * @property authorityMillis age from which a contact proof no longer allows the instance to use or lend its share
 * @property loanTermMillis term of a loan
 * @property failureTimeoutMillis time without a report after which a member is removed
 * @property maxReportAgeMillis age from which a report no longer describes the present; less than [authorityMillis], so
 * that a confirmation by an earlier run is outdated before the restarted instance may vote
 * @property joinListenMillis time for which a new instance listens before it proposes a change
 * @property firstEpochWaitMillis time for which a new instance waits before it creates the first epoch while registered
 * instances are silent
 * @property rejoinDelayMillis time after a removal before the instance joins again; keeps an instance whose heartbeats
 * don't reach some peer from being removed and added repeatedly
 * @property storeVerificationPeriodMillis mean time between reads that verify the epoch in the store
 * @property voteOnUnanimity whether a fleet of which most instances restarted during an outage of the store resumes
 * before the store is back; if the instance that didn't restart missed the last change, the fleet revives its old epoch
 * beside the epoch in the store, and the shares of both can exceed the rate until the instances have read the store
 */
public data class MembershipLimits(
    val heartbeatPeriodMillis: Long = 1_000,
    val authorityMillis: Long = 5_000,
    val loanTermMillis: Long = 5_000,
    val failureTimeoutMillis: Long = 10_000,
    val maxReportAgeMillis: Long = 3_000,
    val joinListenMillis: Long = 2_000,
    val firstEpochWaitMillis: Long = 15_000,
    val rejoinDelayMillis: Long = 30_000,
    val storeVerificationPeriodMillis: Long = 5_000,
    val voteOnUnanimity: Boolean = false,
) {
    init {
        require(maxReportAgeMillis < authorityMillis) { "maxReportAgeMillis must be less than authorityMillis" }
    }

    /**
     * Time after the confirmation by a majority until every share of the old epoch is out of use. A member can lend
     * until its last contact proof is [authorityMillis] old, and the borrower can use the loan for another
     * [loanTermMillis]. Includes margins for clock drift and for transmission.
     */
    val activationWaitMillis: Long
        get() = (authorityMillis + loanTermMillis).let { it + it / CLOCK_DRIFT_DIVISOR } + TRANSIT_MARGIN_MILLIS

    public companion object {
        private const val CLOCK_DRIFT_DIVISOR = 100L
        private const val TRANSIT_MARGIN_MILLIS = 500L
        private const val DEFAULT_MAX_REPORT_AGE_MILLIS = 3_000L

        /** Returns the default limits with [authorityMillis], and [maxReportAgeMillis] reduced to stay below it. */
        public fun of(authorityMillis: Long): MembershipLimits =
            MembershipLimits(
                authorityMillis = authorityMillis,
                maxReportAgeMillis = minOf(DEFAULT_MAX_REPORT_AGE_MILLIS, authorityMillis - 1),
            )
    }
}
