package lacewingweir.transport.gateway

/** Whether a request was executed, if this is known. [headerValue] is the value of `X-Lacewingweir-Run`. */
public enum class RunState(
    public val headerValue: String,
) {
    /** No byte of the request reached an endpoint, or the endpoint reported that it did not execute the request. */
    NOT_RUN("not-run"),

    /** The request was at least partly sent to an endpoint, and it is not known whether it was executed. */
    UNKNOWN("unknown"),

    /** An endpoint executed the request at least in part. */
    RUN("run"),
}
