package lacewingweir.coordination.time

/** A task that was handed to a [TimerService]. */
public fun interface Subscription {
    /** Stops further runs. A run in progress is cancelled at its next suspension. */
    public fun cancel()
}
