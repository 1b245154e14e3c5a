package lacewingweir.coordination.time

/** Schedules periodic and delayed tasks. Tests replace it by an implementation with manual time. */
public interface TimerService {
    /**
     * Runs [task] repeatedly with a delay of [periodMillis] before each run, varied randomly by up to the fraction
     * [jitter] of the period. Runs never overlap. Exceptions thrown by [task] are logged, and the next run takes place
     * as usual. [name] identifies the task in the log.
     */
    public fun every(
        name: String,
        periodMillis: Long,
        jitter: Double = 0.1,
        task: suspend () -> Unit,
    ): Subscription

    /** Runs [task] once after [delayMillis]. Exceptions thrown by [task] are logged with [name]. */
    public fun after(
        name: String,
        delayMillis: Long,
        task: suspend () -> Unit,
    ): Subscription
}
