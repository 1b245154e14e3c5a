package lacewingweir.transport.relay

import lacewingweir.state.id.ServiceName
import lacewingweir.state.retry.RepeatAllowance
import lacewingweir.state.time.MonotonicClock

/** The repeat allowances of this instance by service. [instances] is the number of instances that share the budget. */
internal class RepeatBudgets(
    private val clock: MonotonicClock,
    private val instances: () -> Int,
    private val newAllowance: () -> RepeatAllowance,
) {
    private val allowances = HashMap<ServiceName, RepeatAllowance>()

    @Synchronized
    fun onRequest(service: ServiceName) = allowance(service).onRequest(clock.nowMillis())

    @Synchronized
    fun tryRepeat(service: ServiceName): Boolean = allowance(service).tryRepeat(clock.nowMillis(), instances())

    @Synchronized
    fun hasRepeat(service: ServiceName): Boolean = allowance(service).hasRepeat(clock.nowMillis(), instances())

    private fun allowance(service: ServiceName) = allowances.getOrPut(service, newAllowance)
}
