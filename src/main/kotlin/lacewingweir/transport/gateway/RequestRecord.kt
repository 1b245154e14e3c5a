package lacewingweir.transport.gateway

import kotlinx.serialization.Serializable
import lacewingweir.state.id.CustomerId
import lacewingweir.state.id.RequestId
import lacewingweir.state.id.RouteId

/**
 * A record of how one request was processed, as shown by `explain`. Contains no API key, prompt or response.
 *
 * [startedAtMillis] is in milliseconds since the Unix epoch. [outcome] is null while the request is running.
 * [droppedSteps] is the number of steps that were omitted because the record was full.
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
    /** A decision or attempt [afterMillis] milliseconds after the start of the request, with its [reason]. */
    @Serializable
    public data class Step(
        val afterMillis: Long,
        val what: String,
        val reason: String,
    )
}
