package lacewingweir.coordination.time

/** Runs periodic and delayed tasks for all parts of an instance. Tests drive it by hand. */
public interface TimerService {
    /**
     * Runs [task] every [periodMillis], each time varied by up to [jitter] of the period. A run never overlaps the one
     * before it. A task that throws is logged and runs again at the next period.
     */
    public fun every(
        name: String,
        periodMillis: Long,
        jitter: Double = 0.1,
        task: suspend () -> Unit,
    ): Subscription

    /** Runs [task] once after [delayMillis]. */
    public fun after(
        name: String,
        delayMillis: Long,
        task: suspend () -> Unit,
    ): Subscription
}
