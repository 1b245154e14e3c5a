package lacewingweir.testing

/** What a caller got for one request: the stream, or only the head of a refusal. */
internal class CallerOutcome(
    val status: Int?,
    val run: String?,
    val stream: ChatStream?,
    val endedNanos: Long,
) {
    /** Whether the answer is the whole [expected] text with its end, and nothing else. */
    fun isWhole(expected: String): Boolean =
        stream != null && stream.done && stream.ended && stream.error == null && stream.text == expected

    /** Whether the answer broke off visibly after a true beginning of [expected], or was refused before it began. */
    fun failedVisibly(expected: String): Boolean =
        stream == null || !stream.done && stream.error != null && expected.startsWith(stream.text)
}
