package lacewingweir.protocol.resume

/** The outcome of checking a resume token. */
public sealed interface ResumeTokenResult {
    /** The token is authentic, has not expired and belongs to the stream. */
    public data class Valid(
        val position: StreamPosition,
    ) : ResumeTokenResult

    /** The token is malformed or was not issued by this fleet. */
    public data object Invalid : ResumeTokenResult

    /** The token is authentic and belongs to the stream but has expired. */
    public data object Expired : ResumeTokenResult

    /** The token is authentic, but its stream differs in [part]: customer, model, weights version or request body. */
    public data class Mismatch(
        val part: String,
    ) : ResumeTokenResult
}
