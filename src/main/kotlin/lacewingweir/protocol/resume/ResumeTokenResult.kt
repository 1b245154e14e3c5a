package lacewingweir.protocol.resume

/** Outcome of checking a resume token. */
public sealed interface ResumeTokenResult {
    /** The token is genuine, fresh and belongs to the stream. */
    public data class Valid(
        val position: StreamPosition,
    ) : ResumeTokenResult

    /** The token is malformed or was not issued by this fleet. */
    public data object Invalid : ResumeTokenResult

    /** The token is genuine but too old. */
    public data object Expired : ResumeTokenResult

    /** The token is genuine but belongs to another [part]: customer, model, weights version or request body. */
    public data class Mismatch(
        val part: String,
    ) : ResumeTokenResult
}
