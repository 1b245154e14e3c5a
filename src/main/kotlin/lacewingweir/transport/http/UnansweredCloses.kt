package lacewingweir.transport.http

import io.github.oshai.kotlinlogging.KotlinLogging
import lacewingweir.transport.traffic.KeyedCounter

private val logger = KotlinLogging.logger {}

/** Why a server closed the connection of a client before it had sent a complete response. */
public enum class CloseReason {
    /** The handler gave the response up. */
    ABORTED,

    /** The handler threw an exception or was cancelled after it had started the response. */
    HANDLER_FAILED,

    /** The handler ended without a complete response. */
    NOT_ANSWERED,

    /** The client read nothing of the response for too long, or others needed the memory that it held. */
    WRITE_STALLED,

    /** The connection itself failed. */
    CONNECTION_FAILED,
}

/** Logs and counts the connections that a server closes before it has sent a complete response. */
internal class UnansweredCloses {
    private val counts = KeyedCounter<CloseReason>()

    /** The number of closes by reason so far. */
    val totals: Map<CloseReason, Long>
        get() = counts.totals

    /** Records that the connection with this [use] is closed in the middle of [exchange]. */
    fun record(
        reason: CloseReason,
        exchange: NettyServerExchange,
        use: ConnectionUse,
    ) {
        counts.increment(reason)
        logger.info {
            val ageMillis = (System.nanoTime() - exchange.arrivedAtNanos) / NANOS_PER_MILLI
            "http: connection closed before the end of a response reason=$reason ${exchange.method} ${exchange.path} " +
                "started=${exchange.responseStarted} requestMs=$ageMillis " +
                "sinceLastByteMs=${exchange.sinceLastByteMillis} $use"
        }
    }

    private companion object {
        const val NANOS_PER_MILLI: Long = 1_000_000
    }
}
