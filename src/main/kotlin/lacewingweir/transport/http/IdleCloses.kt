package lacewingweir.transport.http

import java.util.concurrent.atomic.LongAdder

/**
 * How often a server has ended connections between two requests so far.
 *
 * @property closed the number of connections that were closed as idle
 * @property inputFound how often input turned up that the event loop had not read yet, just before a connection was
 *   closed as idle
 * @property requestsBehindEnd the number of requests that arrived on connections whose output had ended, and were
 *   ignored
 */
public data class IdleCloseFigures(
    public val closed: Long,
    public val inputFound: Long,
    public val requestsBehindEnd: Long,
)

/** Counts the connections that a server closes as idle, and the requests that meet the end of a connection. */
internal class IdleCloses {
    private val closed = LongAdder()
    private val inputFound = LongAdder()
    private val requestsBehindEnd = LongAdder()

    val figures: IdleCloseFigures
        get() = IdleCloseFigures(closed.sum(), inputFound.sum(), requestsBehindEnd.sum())

    fun onClosed() = closed.increment()

    fun onInputFound() = inputFound.increment()

    fun onRequestBehindEnd() = requestsBehindEnd.increment()
}
