package lacewingweir.load

/** Outcome of a request. */
public sealed interface RequestOutcome {
    /** The complete answer was received, ended by `[DONE]`. Times are in milliseconds since the scheduled arrival. */
    public data class Complete(
        val firstTokenMillis: Double,
        val totalMillis: Double,
        val promptTokens: Long,
        val cachedTokens: Long,
        val answerTokens: Long,
    ) : RequestOutcome

    /**
     * The request was refused with [status], or could not be sent, in which case [status] is zero.
     *
     * [runState] is the value of the `X-Lacewingweir-Run` header.
     */
    public data class Refused(
        val status: Int,
        val runState: String,
    ) : RequestOutcome

    /** The answer ended with an error event. */
    public data class ExplicitError(
        val message: String,
    ) : RequestOutcome

    /**
     * The answer is missing or wrong: there was no response, the stream was truncated without an error event, or the
     * number of content chunks differs from the usage.
     */
    public data class Broken(
        val reason: String,
    ) : RequestOutcome
}
