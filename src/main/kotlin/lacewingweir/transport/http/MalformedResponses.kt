package lacewingweir.transport.http

import io.github.oshai.kotlinlogging.KotlinLogging
import io.netty.handler.codec.PrematureChannelClosureException
import lacewingweir.transport.traffic.KeyedCounter

private val logger = KotlinLogging.logger {}

/** What makes a response malformed. */
public enum class ResponseDefect {
    VERSION,
    STATUS,
    FIELD_NAME,
    LINE_FOLDING,
    TRANSFER_CODING,

    /** The head broke off and goes on with that of another response. */
    HEAD_IN_HEAD,

    /** The connection ended inside the head. */
    INCOMPLETE_HEAD,

    /** Anything else that the decoder refuses, such as a control byte in a value or an invalid length or chunk size. */
    OTHER,
}

/** Ends the decoding of a response because of [defect]. */
internal class MalformedResponseException(
    val defect: ResponseDefect,
    message: String,
) : RuntimeException(message, null, false, false)

/** Logs and counts the responses that were rejected as malformed. */
internal class MalformedResponses {
    private val counts = KeyedCounter<ResponseDefect>()

    /** The number of malformed responses by defect so far. */
    val totals: Map<ResponseDefect, Long>
        get() = counts.totals

    /** Records that the response to [request] was rejected for [reason]. */
    fun record(
        defect: ResponseDefect,
        reason: String,
        request: ClientRequest?,
        use: ConnectionUse,
    ) {
        counts.increment(defect)
        logger.info {
            "http: id=${request?.id} malformed response defect=$defect to=${request?.address} $use reason=$reason"
        }
    }
}

/** Returns the defect that made the decoder fail with this cause. */
internal fun Throwable.responseDefect(): ResponseDefect =
    when (this) {
        is MalformedResponseException -> defect
        is PrematureChannelClosureException -> ResponseDefect.INCOMPLETE_HEAD
        else -> ResponseDefect.OTHER
    }

/** Returns the beginning of a text of a server in a form that is safe to log. */
internal fun String.printable(): String =
    take(MAX_LOGGED_CHARS).map { if (it in FIRST_PRINTABLE..LAST_PRINTABLE) it else '?' }.joinToString("")

private const val MAX_LOGGED_CHARS = 160
private const val FIRST_PRINTABLE = ' '
private const val LAST_PRINTABLE = '~'
