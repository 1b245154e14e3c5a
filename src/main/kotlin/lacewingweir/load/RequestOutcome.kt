package lacewingweir.load

/** What became of one request. */
public sealed interface RequestOutcome {
    /** The whole answer arrived, in order and ended by `[DONE]`. Times are from the scheduled arrival. */
    public data class Complete(
        val firstTokenMillis: Double,
        val totalMillis: Double,
        val promptTokens: Long,
        val cachedTokens: Long,
        val answerTokens: Long,
    ) : RequestOutcome

    /** The request was refused with [status]. [runState] is the value of the run state header. */
    public data class Refused(
        val status: Int,
        val runState: String,
    ) : RequestOutcome

    /** The answer ended in an explicit error event. */
    public data class ExplicitError(
        val message: String,
    ) : RequestOutcome

    /** The answer was wrong: cut without an error, out of order, or with tokens missing. */
    public data class Broken(
        val reason: String,
    ) : RequestOutcome
}
