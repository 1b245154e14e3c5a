package lacewingweir.cli.io

/** The result of a call to an operator port. */
public sealed interface OperatorCallResult {
    /** The instance answered, possibly with an error status. */
    public data class Answered(
        val status: Int,
        val body: String,
    ) : OperatorCallResult

    /** No connection could be established, so the instance did not receive the call. */
    public data class Unreachable(
        val reason: String,
    ) : OperatorCallResult

    /** No answer arrived, so the instance may have received the call. */
    public data class Unknown(
        val reason: String,
    ) : OperatorCallResult
}
