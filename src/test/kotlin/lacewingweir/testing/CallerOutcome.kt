package lacewingweir.testing

/**
 * The response that a caller received to one request.
 *
 * [status] is null if the caller received no response. [runState] is the value of the run state header. [stream] is
 * null unless the status is 200. [endedNanos] is the time at which the response ended.
 */
internal class CallerOutcome(
    val status: Int?,
    val runState: String?,
    val stream: ChatStream?,
    val endedNanos: Long,
) {
    /** Returns whether the answer is exactly [expected], with its end marker and without an error. */
    fun isComplete(expected: String): Boolean =
        stream != null && stream.done && stream.ended && stream.error == null && stream.text == expected

    /** Returns whether the answer ended in an error after a prefix of [expected], or there was no answer at all. */
    fun failedVisibly(expected: String): Boolean =
        stream == null || !stream.done && stream.error != null && expected.startsWith(stream.text)
}
