package lacewingweir.coordination.routing

import lacewingweir.state.bundle.Model
import lacewingweir.state.bundle.TrafficClass
import lacewingweir.state.id.CustomerId
import lacewingweir.state.id.EndpointId
import lacewingweir.state.placement.PrefixChain

/**
 * A model request that waits for an engine.
 *
 * [deadlineMillis] is a time of the monotonic clock. A request that is expected to wait for an engine beyond it is
 * refused immediately. [excluded] are endpoints that already failed this request. [attempt] is zero for the first
 * attempt.
 */
public data class ScheduleRequest(
    val customer: CustomerId,
    val trafficClass: TrafficClass,
    val model: Model,
    val prefix: PrefixChain,
    val promptTokens: Long,
    val maxAnswerTokens: Long,
    val deadlineMillis: Long,
    val excluded: Set<EndpointId> = emptySet(),
    val attempt: Int = 0,
)
