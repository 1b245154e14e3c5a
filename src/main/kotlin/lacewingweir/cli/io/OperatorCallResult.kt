package lacewingweir.cli.io

/** Outcome of a call to an operator port. */
public sealed interface OperatorCallResult {
    /** The instance answered. */
    public data class Answered(
        val status: Int,
        val body: String,
    ) : OperatorCallResult

    /** No connection could be made, so the call was certainly not received. */
    public data class Unreachable(
        val reason: String,
    ) : OperatorCallResult

    /** The call was sent and no answer came. */
    public data class Unknown(
        val reason: String,
    ) : OperatorCallResult
}
