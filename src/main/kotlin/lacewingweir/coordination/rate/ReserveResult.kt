package lacewingweir.coordination.rate

/** The result of reserving tokens. */
public sealed interface ReserveResult {
    /** The tokens are reserved until [reservation] is closed. */
    public class Reserved(
        public val reservation: Reservation,
    ) : ReserveResult

    /** The request was refused for [reason]; it may be retried after [retryAfterMillis]. */
    public data class Refused(
        val retryAfterMillis: Long,
        val reason: String,
    ) : ReserveResult
}
