package lacewingweir.transport.relay

import lacewingweir.coordination.placement.EndpointReservation
import lacewingweir.coordination.versions.VersionAnswer
import lacewingweir.state.id.RouteId

/**
 * Returns what a send shows of the software version of its endpoint, or null if it shows nothing: the endpoint did not
 * run the call, or the call was withdrawn. While this instance is [cutOff] from the service, a broken answer need not
 * be the endpoint's fault.
 */
internal fun versionAnswer(
    route: RouteId,
    reservation: EndpointReservation,
    outcome: SendOutcome,
    cutOff: Boolean = false,
): VersionAnswer? {
    val failed =
        when (outcome) {
            is SendOutcome.Delivered, is SendOutcome.HandedOver -> false
            is SendOutcome.ErrorResponse -> outcome.head.status >= FIRST_SERVER_ERROR
            is SendOutcome.Broken -> true
            is SendOutcome.NotRun, SendOutcome.Withdrawn -> return null
        }
    val unclear = outcome is SendOutcome.Broken && (outcome.givenUp || outcome.stalled || cutOff)
    val endpoint = reservation.endpoint
    return VersionAnswer(
        service = endpoint.service,
        version = endpoint.software,
        route = route,
        failed = failed && !unclear,
        millis = reservation.millisToFirstEvent ?: reservation.ageMillis,
        referenceMillis = reservation.referenceMillis.takeIf { reservation.model != null },
        unclear = unclear,
    )
}

private const val FIRST_SERVER_ERROR = 500
