package lacewingweir.coordination.routing

/**
 * Chooses an engine for each attempt. Customers are served by fair queueing, engines that hold the prompt's prefix in
 * their cache are preferred, and retries are bounded by a retry budget.
 */
public interface EngineScheduler {
    /**
     * Waits until an engine has a free slot for [request].
     *
     * A retry, which is a request with [ScheduleRequest.attempt] above zero, also draws on the retry budget and waits
     * for the backoff delay. Cancelling the caller removes the request from the queue.
     */
    public suspend fun schedule(request: ScheduleRequest): ScheduleResult
}
