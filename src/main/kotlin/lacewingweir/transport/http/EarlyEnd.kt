package lacewingweir.transport.http

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.DisposableHandle
import kotlinx.coroutines.cancel
import kotlinx.coroutines.coroutineScope

/**
 * Returns the result of [block], or null if it is ended before.
 *
 * [arm] gets the function that ends it, and returns what is disposed of once it has completed.
 */
internal suspend fun <T : Any> orNullIfEnded(
    arm: CoroutineScope.(end: () -> Unit) -> DisposableHandle,
    block: suspend () -> T?,
): T? {
    val owner = Any()
    return try {
        coroutineScope {
            val armed = arm { cancel(EarlyEndException(owner)) }
            try {
                block()
            } finally {
                armed.dispose()
            }
        }
    } catch (e: EarlyEndException) {
        if (e.owner === owner) null else throw e
    }
}

private class EarlyEndException(
    val owner: Any,
) : CancellationException("ended early")
