package lacewingweir.coordination.time

/** A cancellable registration, for example of a task of a [TimerService]. */
public fun interface Subscription {
    /** Prevents further runs. A timer task that is running is cancelled at its next suspension point. */
    public fun cancel()
}
