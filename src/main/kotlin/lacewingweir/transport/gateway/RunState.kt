package lacewingweir.transport.gateway

/** What is known about whether a request ran. [header] is the value of `X-Lacewingweir-Run`. */
public enum class RunState(
    public val header: String,
) {
    /** No byte of the request reached an endpoint, or the endpoint said that it ran nothing. */
    NOT_RUN("not-run"),

    /** The request was handed to an endpoint, at least in part, and nothing is known of its fate. */
    UNKNOWN("unknown"),

    /** An endpoint ran the request, at least in part. */
    RUN("run"),
}
