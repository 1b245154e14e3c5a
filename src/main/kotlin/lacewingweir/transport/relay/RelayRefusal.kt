package lacewingweir.transport.relay

/**
 * Reason why a call is not answered by an endpoint, with the HTTP status that its caller receives.
 *
 * 429 and 503 guarantee that the call was not executed and will not be. The other statuses leave this open, or are for
 * calls that can't be executed at all.
 */
internal enum class RelayRefusal(
    val status: Int,
) {
    NO_ROUTE(404),
    UNKNOWN_KEY(401),
    MALFORMED(400),
    OVER_RATE(429),

    /** This instance has no configuration yet, or its contact proof is too old. */
    NO_CURRENT_CONFIG(503),

    /** No endpoint accepts requests now. */
    NO_ENDPOINT(503),

    /** The request, or a part of its prompt, crashes endpoints, so no endpoint will ever answer it. */
    BLOCKED(503),

    /** The request may be what crashed several endpoints, and it can't be tried out now. */
    SUSPECTED(503),

    /** The caller takes up a stream that no endpoint can continue, or whose software version is unknown. */
    CANNOT_CONTINUE(503),

    /** The expected wait exceeds the usable share of the remaining time. */
    OVERLOADED(503),

    /** All endpoints limit their requests or pause: this instance's share of the limits is used up. */
    LIMITED(503),

    /** The call may last longer than this instance, which stops, and others can take it. */
    STOPPING(503),

    /** Every endpoint tried refused the call or was not reached, and the call may not be sent again. */
    NOT_RUN(503),

    /** The time ran out before any endpoint may have executed the call. */
    OUT_OF_TIME(503),

    /** The call was sent and its outcome is unknown, or every send failed. */
    FAILED(502),

    /** The call may have been executed, and its time ran out. */
    TIMED_OUT(504),
}
