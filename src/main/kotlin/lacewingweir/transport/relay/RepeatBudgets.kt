package lacewingweir.transport.relay

import lacewingweir.state.id.ServiceName
import lacewingweir.state.retry.RepeatBudget
import lacewingweir.state.retry.RepeatCause
import lacewingweir.state.time.MonotonicClock
import java.util.EnumMap
import java.util.concurrent.atomic.AtomicReference

/**
 * The repeats of calls to one service.
 *
 * @property granted repeats that the budget allowed since the start of the process, by cause
 * @property sent those of [granted] that were sent
 * @property denied repeats that the budget didn't allow
 * @property unread repeats that were sent and may not have been read yet
 * @property inWindow repeats that count at present
 * @property usable repeats that this instance may have in the present window
 * @property instances the number of instances that share the budget, as far as this one knows
 */
internal data class RepeatFigures(
    val granted: Map<RepeatCause, Long>,
    val sent: Map<RepeatCause, Long>,
    val denied: Map<RepeatCause, Long>,
    val unread: Int,
    val inWindow: Int,
    val usable: Double,
    val instances: Int,
)

/** A repeat that the budget allows. It counts until a window after it was read, or until it ends without being sent. */
internal class RepeatGrant(
    private val onSent: () -> Unit,
    private val onRead: (latestMillis: Long) -> Unit,
    private val onReleased: () -> Unit,
) {
    private enum class State {
        GRANTED,
        SENT,
        ENDED,
    }

    private val state = AtomicReference(State.GRANTED)

    /** Records that the repeat is being sent. */
    fun sent() {
        if (state.compareAndSet(State.GRANTED, State.SENT)) onSent()
    }

    /** Records that the endpoints have read all sends of the call at [latestMillis] of the monotonic clock. */
    fun read(latestMillis: Long) {
        if (state.compareAndSet(State.SENT, State.ENDED)) onRead(latestMillis)
    }

    /** Gives the repeat back unless it was sent. */
    fun release() {
        if (state.compareAndSet(State.GRANTED, State.ENDED)) onReleased()
    }
}

/** Repeat budgets of this instance, one for each service. [instances] returns how many instances share a budget. */
internal class RepeatBudgets(
    private val clock: MonotonicClock,
    private val instances: () -> Int,
    private val newBudget: () -> RepeatBudget,
) {
    private class ServiceRepeats(
        val budget: RepeatBudget,
    ) {
        val granted = EnumMap<RepeatCause, Long>(RepeatCause::class.java)
        val sent = EnumMap<RepeatCause, Long>(RepeatCause::class.java)
        val denied = EnumMap<RepeatCause, Long>(RepeatCause::class.java)
        var unread = 0
    }

    private val services = HashMap<ServiceName, ServiceRepeats>()

    @Synchronized
    fun onRequest(service: ServiceName) = repeats(service).budget.onRequest(clock.nowMillis())

    /** Returns a grant for one repeat, or null if the budget allows none now. */
    @Synchronized
    fun tryRepeat(
        service: ServiceName,
        cause: RepeatCause,
    ): RepeatGrant? {
        val repeats = repeats(service)
        if (!repeats.budget.tryReserve(clock.nowMillis(), instances())) {
            repeats.denied.merge(cause, 1, Long::plus)
            return null
        }
        repeats.granted.merge(cause, 1, Long::plus)
        return RepeatGrant(
            onSent = { recordSent(repeats, cause) },
            onRead = { recordRead(repeats, it) },
            onReleased = { release(repeats) },
        )
    }

    @Synchronized
    fun canRepeat(service: ServiceName): Boolean = repeats(service).budget.canReserve(clock.nowMillis(), instances())

    @Synchronized
    private fun recordSent(
        repeats: ServiceRepeats,
        cause: RepeatCause,
    ) {
        repeats.sent.merge(cause, 1, Long::plus)
        repeats.unread++
    }

    @Synchronized
    private fun recordRead(
        repeats: ServiceRepeats,
        latestMillis: Long,
    ) {
        repeats.budget.onRead(latestMillis)
        repeats.unread--
    }

    @Synchronized
    private fun release(repeats: ServiceRepeats) = repeats.budget.release()

    /** The repeats of all services that have had requests. */
    val figures: Map<ServiceName, RepeatFigures>
        @Synchronized
        get() {
            val now = clock.nowMillis()
            return services.mapValues { (_, repeats) ->
                RepeatFigures(
                    granted = EnumMap(repeats.granted),
                    sent = EnumMap(repeats.sent),
                    denied = EnumMap(repeats.denied),
                    unread = repeats.unread,
                    inWindow = repeats.budget.repeatsInWindow(now),
                    usable = repeats.budget.usable(now, instances()),
                    instances = instances(),
                )
            }
        }

    private fun repeats(service: ServiceName) = services.getOrPut(service) { ServiceRepeats(newBudget()) }
}
