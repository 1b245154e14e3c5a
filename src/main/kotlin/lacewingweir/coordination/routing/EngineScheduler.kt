package lacewingweir.coordination.routing

/** Chooses an engine for each attempt: fair between customers, near cached prefixes, within the retry budget. */
public interface EngineScheduler {
    /**
     * Waits for a slot and an engine. For a retry ([ScheduleRequest.attempt] above zero) it also draws on the retry
     * budget and waits the backoff. Cancelling the caller gives up the place in the queue.
     */
    public suspend fun schedule(request: ScheduleRequest): ScheduleResult
}
