package lacewingweir.coordination.routing

/** Outcome of waiting for an engine. */
public sealed interface ScheduleResult {
    /** The request may be sent to the lease's endpoint. */
    public class Granted(
        public val lease: EngineLease,
    ) : ScheduleResult

    /** No engine can take the request in time, or the retry budget is spent. */
    public data class Refused(
        val retryAfterMillis: Long,
        val reason: String,
    ) : ScheduleResult
}
