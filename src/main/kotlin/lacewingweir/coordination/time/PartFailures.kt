/**
 * Keeps the long-lived parts of an instance running: mirrors, receivers, timers and agents.
 *
 * A part that ends in silence leaves an instance that seems to work and never learns of a change again. A part that
 * fails is therefore started again in place. Ending the process instead would cut off all answers that are in progress,
 * and an input that fails the part would meet it again after the restart.
 */
package lacewingweir.coordination.time

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import java.util.concurrent.atomic.LongAdder

private val logger = KotlinLogging.logger {}

/** Logs and counts the failures of the parts of an instance. Thread-safe. */
public class PartFailures {
    private val counter = LongAdder()

    /** Failures since the start of the process. */
    public val total: Long
        get() = counter.sum()

    /** Records the failures of coroutines that nothing else handles. */
    public val handler: CoroutineExceptionHandler =
        CoroutineExceptionHandler { _, cause -> record("background task", cause) }

    /** Records that [part] failed. */
    public fun record(
        part: String,
        cause: Throwable,
    ) {
        counter.increment()
        logger.error(cause) { "part: $part failed failures=$total" }
    }
}

/**
 * Runs [body] once. Failures are recorded for [part] and are not thrown, errors of the virtual machine included.
 *
 * @throws CancellationException if the calling coroutine was cancelled
 */
public suspend fun PartFailures.contain(
    part: String,
    body: suspend () -> Unit,
) {
    try {
        body()
    } catch (e: CancellationException) {
        // A cancellation that is not the caller's own, for example of a closed channel, must not end the caller.
        currentCoroutineContext().ensureActive()
        record(part, e)
    } catch (e: Throwable) {
        record(part, e)
    }
}

/** Runs [body] again and again until the coroutine is cancelled, with a pause after each end. */
public suspend fun PartFailures.keepRunning(
    part: String,
    body: suspend () -> Unit,
): Nothing {
    while (true) {
        contain(part) {
            body()
            error("$part has ended")
        }
        delay(RESTART_PAUSE_MILLIS)
    }
}

/** Short compared to the maximum age of the contact proof, long enough that a lasting failure uses little time. */
private const val RESTART_PAUSE_MILLIS: Long = 200
