package lacewingweir.transport.gateway

import lacewingweir.state.bundle.Bundle
import lacewingweir.state.bundle.Route
import lacewingweir.state.id.CustomerId
import lacewingweir.state.id.RequestId
import lacewingweir.transport.http.ServerExchange

/** The state of one caller request while it is processed. */
internal class RequestContext(
    val exchange: ServerExchange,
    val requestId: RequestId,
    val routeTable: RouteTable,
    val trace: RequestTrace,
    val runTracker: RunStateTracker,
    val response: CallerResponse,
    val traceSpan: GatewayTracing.TraceSpan,
) {
    val stopSignal: StopSignal = StopSignal()

    val bundle: Bundle
        get() = routeTable.bundle

    /** The traffic class of the route as a metric label, or "none" before a route is matched. */
    var trafficClassLabel: String = "none"
        private set

    fun recordRoute(route: Route) {
        trace.route = route.id
        trafficClassLabel = route.trafficClass.name.lowercase()
        trace.step("route", "route ${route.id}, class $trafficClassLabel")
    }

    fun recordCustomer(customer: CustomerId) {
        trace.customer = customer
        trace.step("key", "accepted for customer $customer")
        traceSpan.span.setAttribute("lacewingweir.customer", customer.value)
    }

    /** Sends [refusal] as the response and records it as the outcome. */
    suspend fun refuse(refusal: Refusal) {
        recordOutcome("refused ${refusal.status} ${refusal.error.code}", refusal.error.message)
        response.refuse(refusal, runTracker.state)
    }

    /** Records how the request ended and for which reason. */
    fun recordOutcome(
        outcome: String,
        reason: String,
    ) {
        trace.step(outcome, reason)
        trace.outcome = outcome
    }
}
