package lacewingweir.transport.relay

/**
 * Why a call gets no endpoint's answer, and what its caller is told.
 *
 * 429 and 503 say that the call did not run and never will; the other statuses leave that open or concern calls that
 * can't run at all.
 */
internal enum class RelayRefusal(
    val status: Int,
) {
    NO_ROUTE(404),
    UNKNOWN_KEY(401),
    MALFORMED(400),
    OVER_RATE(429),

    /** This instance does not know enough to serve: no configuration yet, or its knowledge is too old. */
    UNINFORMED(503),

    /** No endpoint takes requests now. */
    NO_ENDPOINT(503),

    /** The expected wait exceeds the caller's time. */
    OVERLOADED(503),

    /** Endpoints refused to run the call, and the budget for further sends is spent. */
    NOT_RUN(503),

    /** The time ran out before the call was sent anywhere. */
    OUT_OF_TIME(503),

    /** The call was sent and its outcome is unknown, or every try failed. */
    FAILED(502),

    /** The call was sent and its time ran out. */
    TIMED_OUT(504),
}
