package lacewingweir.transport.relay

import lacewingweir.state.id.ServiceName
import lacewingweir.state.retry.RepeatBudget
import lacewingweir.state.time.MonotonicClock

/** Repeat budgets of this instance, one for each service. [instances] returns how many instances share a budget. */
internal class RepeatBudgets(
    private val clock: MonotonicClock,
    private val instances: () -> Int,
    private val newBudget: () -> RepeatBudget,
) {
    private val budgets = HashMap<ServiceName, RepeatBudget>()

    @Synchronized
    fun onRequest(service: ServiceName) = budget(service).onRequest(clock.nowMillis())

    @Synchronized
    fun tryRepeat(service: ServiceName): Boolean = budget(service).tryRepeat(clock.nowMillis(), instances())

    @Synchronized
    fun canRepeat(service: ServiceName): Boolean = budget(service).canRepeat(clock.nowMillis(), instances())

    private fun budget(service: ServiceName) = budgets.getOrPut(service, newBudget)
}
