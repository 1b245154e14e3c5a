package lacewingweir.state.membership

/**
 * Times of the membership rules.
 *
 * [authorityMillis] is the age at which a proof of contact ends the right to spend and to lend; a loan lasts
 * [loanMillis]. [silenceMillis] of silence lead to
 * a removal. A report older than [freshMillis] says nothing about the present; it is below [authorityMillis], so that
 * a confirmation of an earlier run is out of date before its successor may vote. A new instance listens for
 * [joinListenMillis] before it proposes anything, and for [firstEpochWaitMillis] before it founds the first epoch
 * while recorded instances are silent. [rejoinDelayMillis] keeps an instance that some peer can't hear from being
 * removed and added in turns.
 *
 * With [voteOnUnanimity] a fleet of which most instances restarted during an outage of the store resumes before the
 * store is back. If the survivor then is one that missed the last change, its old epoch is revived beside the one in
 * the store, and the shares of both can exceed the rate until the instances have read the store.
 */
public data class MembershipLimits(
    val heartbeatMillis: Long = 1_000,
    val authorityMillis: Long = 5_000,
    val loanMillis: Long = 5_000,
    val silenceMillis: Long = 10_000,
    val freshMillis: Long = 3_000,
    val joinListenMillis: Long = 2_000,
    val firstEpochWaitMillis: Long = 15_000,
    val rejoinDelayMillis: Long = 30_000,
    val verifyStoreMillis: Long = 5_000,
    val voteOnUnanimity: Boolean = false,
) {
    init {
        require(freshMillis < authorityMillis) { "freshMillis must be below authorityMillis" }
    }

    /**
     * Time after a majority's confirmation by which every share of the old epoch is out of use. A member can lend
     * until its last proof is [authorityMillis] old, and the borrower uses the loan for [loanMillis] more.
     */
    val activationWaitMillis: Long
        get() = (authorityMillis + loanMillis).let { it + it / CLOCK_MARGIN_DIVISOR } + TRANSIT_MARGIN_MILLIS

    public companion object {
        private const val CLOCK_MARGIN_DIVISOR = 100L
        private const val TRANSIT_MARGIN_MILLIS = 500L
        private const val DEFAULT_FRESH_MILLIS = 3_000L

        /**
         * Limits for a fleet whose settings say [authorityMillis]; a short one shortens the age of a fresh report too.
         */
        public fun of(authorityMillis: Long): MembershipLimits =
            MembershipLimits(
                authorityMillis = authorityMillis,
                freshMillis = minOf(DEFAULT_FRESH_MILLIS, authorityMillis - 1),
            )
    }
}
