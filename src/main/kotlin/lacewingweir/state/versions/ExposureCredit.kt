package lacewingweir.state.versions

/**
 * Limits the calls that one instance sends to the target version to a share of its calls of the service, without
 * communication.
 *
 * Each call of the service adds the share, and each call to the target takes one. If instances start with a [credit]
 * that is uniform between 0 and 1, the fractions that they round up and down cancel out over the fleet. The credit
 * that target endpoints don't use at once is bounded, so that it isn't spent in a burst later.
 */
internal class ExposureCredit(
    private var credit: Double,
) {
    /** Returns whether the next call may go to the target. Calls that are moved entirely need no credit. */
    fun isDue(share: Double): Boolean = share >= 1.0 || (share > 0.0 && credit + share >= 1.0)

    fun onCall(
        share: Double,
        toTarget: Boolean,
    ) {
        if (share >= 1.0) return
        credit = (credit + share).coerceAtMost(MAX_CREDIT) - if (toTarget) 1.0 else 0.0
    }

    /**
     * Takes back the share of a call that did not run, and what it took if it [wasSent] to no endpoint. A target that
     * refuses calls gets no more of them for it.
     */
    fun onRejected(
        share: Double,
        toTarget: Boolean,
        wasSent: Boolean,
    ) {
        if (share >= 1.0) return
        credit = (credit - share + if (toTarget && !wasSent) 1.0 else 0.0).coerceAtMost(MAX_CREDIT)
    }

    private companion object {
        /** Bounds a burst of calls to a target whose endpoints were full or absent for some time. */
        const val MAX_CREDIT = 2.0
    }
}
