package lacewingweir.transport.gateway

import lacewingweir.state.bundle.Bundle
import lacewingweir.state.bundle.Route
import lacewingweir.state.id.CustomerId
import lacewingweir.state.id.RequestId
import lacewingweir.transport.http.ServerExchange

/** One caller request on its way through the pipeline. */
internal class RequestContext(
    val exchange: ServerExchange,
    val requestId: RequestId,
    val table: RouteTable,
    val trace: RequestTrace,
    val run: RunTracker,
    val answer: CallerAnswer,
    val hop: GatewayTracing.Hop,
) {
    val stop: StopSignal = StopSignal()

    val bundle: Bundle
        get() = table.bundle

    /** Name of the route's class in metrics. */
    var routeClass: String = "none"
        private set

    fun matched(route: Route) {
        trace.route = route.id
        routeClass = route.trafficClass.name.lowercase()
        trace.step("route", "route ${route.id}, class $routeClass")
    }

    fun identified(customer: CustomerId) {
        trace.customer = customer
        trace.step("key", "accepted for customer $customer")
        hop.span.setAttribute("lacewingweir.customer", customer.value)
    }

    suspend fun refuse(refusal: Refusal) {
        ended("refused ${refusal.status} ${refusal.error.code}", refusal.error.message)
        answer.refuse(refusal, run.state)
    }

    fun ended(
        outcome: String,
        reason: String,
    ) {
        trace.step(outcome, reason)
        trace.outcome = outcome
    }
}
