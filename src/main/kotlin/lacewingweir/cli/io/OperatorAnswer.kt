package lacewingweir.cli.io

/** Outcome of a call to an operator port. */
public sealed interface OperatorAnswer {
    /** The instance answered. */
    public data class Answered(
        val status: Int,
        val body: String,
    ) : OperatorAnswer

    /** No connection could be made, so the call was certainly not received. */
    public data class Unreachable(
        val reason: String,
    ) : OperatorAnswer

    /** The call was sent and no answer came. */
    public data class Unknown(
        val reason: String,
    ) : OperatorAnswer
}
