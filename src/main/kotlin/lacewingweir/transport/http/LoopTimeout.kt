/**
 * Time limits of calls whose answers an event loop reads.
 *
 * A loop that gets no processor time for a while runs the timers that are due before it reads what has arrived
 * meanwhile. A plain time limit would then give up an answer that came in time. The limits here are late by one reading
 * in that case, and exact in all others.
 */
package lacewingweir.transport.http

import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.DisposableHandle
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.util.concurrent.TimeUnit

/** Waits for [millis]. If the event loop was held up across that end, waits until it has read what has arrived. */
internal suspend fun delayAndRead(millis: Long) {
    val endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis)
    delay(millis)
    if (System.nanoTime() - endNanos > HELD_UP_NANOS) delay(READ_MILLIS)
}

/**
 * Returns the result of [block], or null if it takes longer than [timeoutMillis]. If the event loop was held up across
 * that limit, [block] may still complete with what has arrived.
 */
internal suspend fun <T : Any> withLoopTimeoutOrNull(
    timeoutMillis: Long,
    block: suspend () -> T?,
): T? {
    if (timeoutMillis <= 0) return null
    return orNullIfEnded(
        arm = { end ->
            val limit =
                launch(start = CoroutineStart.UNDISPATCHED) {
                    delayAndRead(timeoutMillis)
                    end()
                }
            DisposableHandle { limit.cancel() }
        },
        block,
    )
}

private val HELD_UP_NANOS: Long = TimeUnit.MILLISECONDS.toNanos(10)

/** Covers a pass of the loop over its connections and the steps from an input to the end of its call. */
private const val READ_MILLIS: Long = 20
