package lacewingweir.transport.gateway

import kotlinx.serialization.Serializable
import lacewingweir.state.id.CustomerId
import lacewingweir.state.id.RequestId
import lacewingweir.state.id.RouteId

/**
 * What happened to one request, for `explain`. Holds no key, prompt or answer.
 *
 * [startedAtMillis] is a time of day. [outcome] is null while the request runs. [droppedSteps] counts steps that
 * exceeded the bound of one record.
 */
@Serializable
public data class RequestRecord(
    val requestId: RequestId,
    val startedAtMillis: Long,
    val customer: CustomerId?,
    val route: RouteId?,
    val steps: List<Step>,
    val droppedSteps: Int,
    val outcome: String?,
    val runState: String,
) {
    /** One decision or attempt, [afterMillis] after the request's start, with its [reason]. */
    @Serializable
    public data class Step(
        val afterMillis: Long,
        val what: String,
        val reason: String,
    )
}
