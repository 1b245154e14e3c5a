package lacewingweir.transport.gateway

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.async
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.selects.select

/** Cancels the work on a request when its caller disconnects or its API key is withdrawn. */
internal class StopSignal {
    private val stopReason = CompletableDeferred<StopReason>()

    val isStopped: Boolean
        get() = stopReason.isCompleted

    /** Stops the work for [reason]. Has no effect if it is already stopped. */
    fun stop(reason: StopReason) {
        stopReason.complete(reason)
    }

    /**
     * Runs [work] until it completes or [stop] is called.
     *
     * Returns null if [work] completed. Otherwise cancels [work], waits until it has ended and returns the reason.
     */
    suspend fun runUntilStopped(work: suspend () -> Unit): StopReason? =
        coroutineScope {
            val workJob = async { work() }
            val reason =
                select<StopReason?> {
                    workJob.onAwait { null }
                    stopReason.onAwait { it }
                }
            if (reason == null) return@coroutineScope null
            workJob.cancelAndJoin()
            reason.takeIf { workJob.isCancelled }
        }
}
