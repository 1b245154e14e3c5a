/**
 * The times of a planned stop.
 *
 * The platform counts from when it sent the signal. The process learns of it later: when it gets processor time, and
 * the handler of the signal runs. All that it can tell is that the signal came after it was last seen running. What has
 * to be over by a time after the signal therefore counts from the earliest moment at which it may have been sent, and
 * what must not come before a time after the signal counts from the latest.
 */
package lacewingweir.state.stop

/** When a signal was sent, by the monotonic clock: not before [earliestMillis], and not after [noticedMillis]. */
internal data class SignalTime(
    val earliestMillis: Long,
    val noticedMillis: Long,
) {
    /** How long the signal may have waited to be noticed, in milliseconds. */
    val maxLagMillis: Long
        get() = noticedMillis - earliestMillis
}

/** The times, by the monotonic clock, of the stop of a process that is killed [graceMillis] after [signal] was sent. */
internal class StopSchedule(
    signal: SignalTime,
    graceMillis: Long,
) {
    /** When the load balancer sends new callers to other instances only. It sees the stop only once it is noticed. */
    val rotationLeftAtMillis: Long = signal.noticedMillis + ROTATION_EXIT_MILLIS

    /** From when on a call is accepted only if its time limit ends before the instance does. */
    val longCallsUntilMillis: Long = signal.earliestMillis + LONG_CALLS_MILLIS

    /**
     * When calls that still run get their last answer. If the signal may have waited for more than about a second, the
     * two demands on this time exclude each other, and answers aren't cut before the last sixth of the grace period.
     */
    val lastAnswersAtMillis: Long = lastAnswersAt(signal, graceMillis)

    /** When the process is to end. */
    val endAtMillis: Long = lastAnswersAtMillis + LAST_ANSWER_MILLIS

    private fun lastAnswersAt(
        signal: SignalTime,
        graceMillis: Long,
    ): Long {
        val usual = signal.noticedMillis + graceMillis - KILL_MARGIN_MILLIS - LAST_ANSWER_MILLIS
        val beforeKill = signal.earliestMillis + graceMillis - KILL_MARGIN_MILLIS
        val lastSixth = signal.noticedMillis + graceMillis * CUT_FROM_SIXTHS / SIXTHS + CUT_MARGIN_MILLIS
        return minOf(usual, maxOf(beforeKill, lastSixth))
    }

    private companion object {
        /** The platform's load balancer probes readiness every second and removes an instance after two failures. */
        const val ROTATION_EXIT_MILLIS: Long = 2_600

        /** Callers expect whole answers to what they send more than three seconds after the signal. */
        const val LONG_CALLS_MILLIS: Long = 2_600

        /** Time for the answers of calls that the end of the instance cuts short to reach their callers. */
        const val LAST_ANSWER_MILLIS: Long = 200

        /** Time between the end of the process and the kill. */
        const val KILL_MARGIN_MILLIS: Long = 400

        /** Callers expect that no answer is cut before the last sixth of the grace period. */
        const val CUT_FROM_SIXTHS: Long = 5
        const val SIXTHS: Long = 6
        const val CUT_MARGIN_MILLIS: Long = 50
    }
}
