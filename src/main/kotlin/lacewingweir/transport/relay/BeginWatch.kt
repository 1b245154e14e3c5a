/**
 * Withdrawal of calls that wait too long at engines with outdated weights.
 *
 * A call begins with its first event, which may arrive long after the call was sent. Until then, newer weights may be
 * set, and the bound may pass until which calls may begin on the older ones. Closing the connection then keeps the
 * engine from beginning the call.
 */
package lacewingweir.transport.relay

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import lacewingweir.coordination.placement.EndpointReservation
import lacewingweir.state.id.RequestId

private val logger = KotlinLogging.logger {}

/**
 * Runs [send], which must close its connection when it is cancelled. Cancels it and returns [SendOutcome.Withdrawn] if
 * the call of [reservation] has not begun in the time that the age of the engine's weights leaves.
 */
internal suspend fun withdrawUnlessBegun(
    id: RequestId,
    reservation: EndpointReservation,
    send: suspend () -> SendOutcome,
): SendOutcome =
    coroutineScope {
        val sending = async { send() }
        val watch =
            launch {
                awaitLastMoment(reservation)
                val outdatedMillis = reservation.outdatedMillis
                if (!reservation.withdraw()) return@launch
                sending.cancel(CancellationException("not begun before the bound for outdated weights"))
                logger.info {
                    "relay: id=$id withdrawn from=${reservation.endpoint.id} weights=${reservation.weights} " +
                        "outdatedMs=$outdatedMillis expectedMs=${reservation.expectedMillis.toLong()}"
                }
            }
        try {
            sending.await()
        } catch (e: CancellationException) {
            if (!reservation.isWithdrawn || !sending.isCancelled) throw e
            SendOutcome.Withdrawn
        } finally {
            watch.cancel()
        }
    }

/**
 * Returns when the call may no longer begin, or soon after it has begun. Looks again in between, since newer weights
 * may be set meanwhile.
 */
private suspend fun awaitLastMoment(reservation: EndpointReservation) {
    while (reservation.isWaiting) {
        val millis = reservation.millisToBegin ?: Long.MAX_VALUE
        if (millis <= 0) return
        delay(minOf(millis, CHECK_PERIOD_MILLIS))
    }
}

/** Small against the margin that the bound for outdated weights allows for withdrawals. */
private const val CHECK_PERIOD_MILLIS: Long = 250
