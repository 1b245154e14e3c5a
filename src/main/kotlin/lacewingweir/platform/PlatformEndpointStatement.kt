package lacewingweir.platform

import io.github.oshai.kotlinlogging.KotlinLogging
import io.netty.handler.codec.http.HttpHeaderNames
import lacewingweir.state.fleet.EndpointStatement
import lacewingweir.transport.http.ClientResponse

private val logger = KotlinLogging.logger {}

/** Decodes what the endpoint that sent [response] says about itself. Malformed values are ignored. */
internal fun decodeStatement(response: ClientResponse): EndpointStatement {
    // This response comes from another endpoint than the one that the request was meant for.
    if (response.status == MISDIRECTED_REQUEST) return EndpointStatement.NONE
    val leaving = response.headers.get(PlatformHeaders.LEAVING)
    if (leaving != null && leaving != LEAVING_NOW) logger.warn { "platform: malformed statement of leaving: $leaving" }
    val pauses =
        if (response.status ==
            SERVICE_UNAVAILABLE
        ) {
            response.headers.getAll(HttpHeaderNames.RETRY_AFTER)
        } else {
            emptyList()
        }
    return EndpointStatement(
        leaving = leaving == LEAVING_NOW,
        pauseMillis = pauses.maxOfOrNull(::parsePause) ?: 0,
        survivedRefusals = response.headers.get(PlatformHeaders.BRITTLE)?.let(::parseSurvived),
        lacksRoom = response.status == SERVICE_UNAVAILABLE && response.headers.contains(PlatformHeaders.NOT_RUN),
    )
}

private fun parseSurvived(text: String): Double? {
    val parsed = text.trim().toDoubleOrNull()?.takeIf { it.isFinite() && it >= 0 }
    if (parsed == null) logger.warn { "platform: malformed number of refusals that are survived: $text" }
    return parsed
}

private fun parsePause(seconds: String): Long {
    val parsed = seconds.trim().toDoubleOrNull()?.takeIf { it.isFinite() && it >= 0 }
    if (parsed == null) logger.warn { "platform: malformed time of a pause: $seconds" }
    return ((parsed ?: 0.0) * MILLIS_PER_SECOND).toLong()
}

internal const val MISDIRECTED_REQUEST = 421
private const val SERVICE_UNAVAILABLE = 503
private const val LEAVING_NOW = "1"
private const val MILLIS_PER_SECOND = 1_000
