package lacewingweir.coordination.rate

/** Outcome of reserving tokens. */
public sealed interface ReserveResult {
    /** The tokens are reserved until [reservation] is closed. */
    public class Reserved(
        public val reservation: Reservation,
    ) : ReserveResult

    /** The customer's rate leaves no room; a retry makes sense after [retryAfterMillis]. */
    public data class Refused(
        val retryAfterMillis: Long,
        val reason: String,
    ) : ReserveResult
}
