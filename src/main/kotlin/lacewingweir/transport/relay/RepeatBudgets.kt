package lacewingweir.transport.relay

import lacewingweir.state.id.ServiceName
import lacewingweir.state.retry.RepeatBudget
import lacewingweir.state.time.MonotonicClock

/** The repeat allowances of this instance by service. [instances] is the number of instances that share the budget. */
internal class RepeatBudgets(
    private val clock: MonotonicClock,
    private val instances: () -> Int,
    private val newAllowance: () -> RepeatBudget,
) {
    private val allowances = HashMap<ServiceName, RepeatBudget>()

    @Synchronized
    fun onRequest(service: ServiceName) = allowance(service).onRequest(clock.nowMillis())

    @Synchronized
    fun tryRepeat(service: ServiceName): Boolean = allowance(service).tryRepeat(clock.nowMillis(), instances())

    @Synchronized
    fun canRepeat(service: ServiceName): Boolean = allowance(service).canRepeat(clock.nowMillis(), instances())

    private fun allowance(service: ServiceName) = allowances.getOrPut(service, newAllowance)
}
