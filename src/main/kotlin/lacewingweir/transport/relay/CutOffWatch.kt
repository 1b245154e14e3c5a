package lacewingweir.transport.relay

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import lacewingweir.coordination.reach.ReachMonitor
import lacewingweir.state.id.ServiceName

/**
 * Runs [send], which must close its connection when it is cancelled. Cancels it if this instance is found to be cut off
 * from [service] and [mayLeave] returns true then, because the connection may hang until the deadline.
 */
internal suspend fun leaveIfCutOff(
    reach: ReachMonitor,
    service: ServiceName,
    mayLeave: () -> Boolean,
    send: suspend () -> SendOutcome,
): SendOutcome =
    coroutineScope {
        val sending = async { send() }
        var left = false
        val subscription =
            reach.observeCutOff(service) {
                left = mayLeave()
                if (left) sending.cancel(CancellationException("cut off from $service"))
            }
        try {
            sending.await()
        } catch (e: CancellationException) {
            if (!left || !sending.isCancelled) throw e
            SendOutcome.Broken("cut off from $service", givenUp = true)
        } finally {
            subscription.cancel()
        }
    }
