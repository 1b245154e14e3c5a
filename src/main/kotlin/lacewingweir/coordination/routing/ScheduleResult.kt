package lacewingweir.coordination.routing

/** The outcome of [EngineScheduler.schedule]. */
public sealed interface ScheduleResult {
    /** The request may be sent to the endpoint of [lease]. */
    public class Granted(
        public val lease: EngineLease,
    ) : ScheduleResult

    /** No engine can take the request before its deadline, or the retry budget is exhausted. */
    public data class Refused(
        val retryAfterMillis: Long,
        val reason: String,
    ) : ScheduleResult
}
