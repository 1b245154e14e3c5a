package lacewingweir.transport.relay

/** Result of sending a call once to one endpoint. */
internal sealed interface SendOutcome {
    /** The caller received the complete response. */
    data class Delivered(
        val status: Int,
    ) : SendOutcome

    /** The endpoint did not execute the call: it said so itself if [refused], otherwise it was not reached. */
    data class NotRun(
        val reason: String,
        val refused: Boolean,
    ) : SendOutcome

    /** The endpoint answered with an error, which is passed on to the caller unless another endpoint succeeds. */
    class ErrorResponse(
        val head: ResponseHead,
        val body: ByteArray,
    ) : SendOutcome

    /** Part of the stream reached the caller, and [run] continues it. */
    class HandedOver(
        val run: HandedOverRun,
    ) : SendOutcome

    /**
     * The call had not begun when it no longer might on the engine's outdated weights, so its connection was closed.
     * It may have run, since closing a connection proves nothing.
     */
    data object Withdrawn : SendOutcome

    /**
     * No usable response was received, and the call may have run. The caller received part of a stream or nothing.
     *
     * [outOfTime] means that the time of the call has run out. [givenUp] means that the endpoint did not respond in
     * time, which says nothing about whether it has ended. [stalled] means that no data came for too long after the
     * head, although the connection was still open.
     */
    data class Broken(
        val reason: String,
        val received: ReceivedPart = ReceivedPart.NOTHING,
        val outOfTime: Boolean = false,
        val givenUp: Boolean = outOfTime,
        val stalled: Boolean = false,
    ) : SendOutcome
}

/** How much of a response had been received when it broke off. */
internal enum class ReceivedPart {
    NOTHING,

    /** The head of the response, but no complete event of its stream. */
    HEAD,
    EVENTS,
}
