package lacewingweir.transport.http

import io.github.oshai.kotlinlogging.KotlinLogging
import lacewingweir.transport.traffic.KeyedCounter
import java.util.concurrent.TimeUnit

private val logger = KotlinLogging.logger {}

/**
 * When a server sent a second response to a request that it had answered: while its connection was idle, behind the
 * answer before the connection became idle, or when a later request was waiting for its answer.
 */
internal enum class SecondResponseMoment {
    IDLE,
    BEHIND_ANSWER,
    LATER_REQUEST,
}

/** The statuses of a first and a second response to the same request. */
internal data class StatusPair(
    val first: Int,
    val second: Int,
) {
    override fun toString(): String = "$first then $second"
}

/** The answer to the request with this [id], which arrived at the time [atNanos]. */
internal data class RecordedAnswer(
    val id: String,
    val status: Int,
    val atNanos: Long,
)

/** Logs and counts the second responses to requests that have been answered. */
internal class SecondResponses {
    private val counts = KeyedCounter<StatusPair>()

    /** The number of second responses by statuses so far. */
    val totals: Map<StatusPair, Long>
        get() = counts.totals

    /** Records that a response with this [status] has come after [answer] on a connection with this [use]. */
    fun record(
        answer: RecordedAnswer,
        status: Int,
        moment: SecondResponseMoment,
        use: ConnectionUse,
    ) {
        counts.increment(StatusPair(answer.status, status))
        logger.info {
            val laterMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - answer.atNanos)
            "http: id=${answer.id} second response status=$status first=${answer.status} laterMs=$laterMillis " +
                "$moment $use"
        }
    }
}
