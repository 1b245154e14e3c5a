package lacewingweir.transport.gateway

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.async
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.selects.select

/** Stops a request's work when its caller leaves or its key is withdrawn. */
internal class StopSignal {
    private val reason = CompletableDeferred<StopReason>()

    val isStopped: Boolean
        get() = reason.isCompleted

    fun stop(why: StopReason) {
        reason.complete(why)
    }

    /** Runs [work] and returns null, or cancels it and returns the reason once it has ended. */
    suspend fun stopped(work: suspend () -> Unit): StopReason? =
        coroutineScope {
            val running = async { work() }
            val why =
                select<StopReason?> {
                    running.onAwait { null }
                    reason.onAwait { it }
                }
            if (why == null) return@coroutineScope null
            running.cancelAndJoin()
            why.takeIf { running.isCancelled }
        }
}
