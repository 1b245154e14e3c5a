package lacewingweir.platform

import io.netty.handler.codec.http.HttpHeaderNames
import lacewingweir.state.fleet.Prompt
import lacewingweir.state.fleet.PromptPart
import lacewingweir.state.id.KeyDigest
import lacewingweir.state.id.ModelName
import lacewingweir.state.id.RequestId
import lacewingweir.transport.http.ServerExchange
import lacewingweir.transport.relay.InboundCall
import lacewingweir.transport.relay.PassedExchange

/** Decodes requests of callers that use the headers of the platform. */
internal object PlatformRequestDecoder {
    /** Decodes a request that arrived at the monotonic time [nowMillis]. Returns null if it is malformed. */
    fun decode(
        exchange: ServerExchange,
        nowMillis: Long,
    ): InboundCall? {
        val headers = exchange.headers
        val id = headers.get(PlatformHeaders.REQUEST_ID) ?: return null
        val host = headers.get(HttpHeaderNames.HOST) ?: return null
        val remainingMillis = headers.get(PlatformHeaders.REMAINING_MILLIS)
        return InboundCall(
            id = RequestId(id),
            method = exchange.method,
            host = host.substringBefore(':').lowercase(),
            target = exchange.target,
            path = exchange.rawPath,
            headers = forwardedHeaders(exchange),
            body = exchange.body,
            keyDigest = headers.get(PlatformHeaders.API_KEY)?.let { KeyDigest.of(it.trim()) },
            callerTimeoutMillis = remainingMillis?.trim()?.toDoubleOrNull()?.toLong(),
            prompt = prompt(exchange),
            resumeAfter = headers.get(PlatformHeaders.LAST_EVENT_ID),
            resumes = headers.get(PlatformHeaders.RESUMED_REQUEST)?.let { RequestId(it.trim()) },
            arrivedAtMillis = nowMillis,
        )
    }

    private fun forwardedHeaders(exchange: ServerExchange): List<Pair<String, String>> =
        endToEndHeaders(exchange).filter { (name) ->
            val lowercaseName = name.lowercase()
            lowercaseName !in PlatformHeaders.reservedForInstances &&
                lowercaseName !in CONSUMED_HEADERS &&
                lowercaseName !in PassedExchange.requestHeaders
        }

    /** Returns the headers of a request that concern more than its connection. */
    fun endToEndHeaders(exchange: ServerExchange): List<Pair<String, String>> {
        val connectionOptions =
            exchange.headers
                .getAll(HttpHeaderNames.CONNECTION)
                .flatMap {
                    it.split(',')
                }.mapTo(HashSet()) { it.trim().lowercase() }
        return exchange.headers
            .entries()
            .filter { (name) ->
                val lowercaseName = name.lowercase()
                lowercaseName !in HopByHopHeaders.names && lowercaseName !in connectionOptions
            }.map { it.key to it.value }
    }

    private fun prompt(exchange: ServerExchange): Prompt? {
        val model = exchange.headers.get(PlatformHeaders.MODEL) ?: return null
        val tokenCounts =
            exchange.headers
                .get(PlatformHeaders.TOKEN_COUNTS)
                ?.split(',')
                ?.mapNotNull {
                    it.trim().toLongOrNull()
                }.orEmpty()
        if (tokenCounts.size != 2) return null
        val parts =
            exchange.headers.get(PlatformHeaders.PROMPT_PARTS).orEmpty().split(',').mapNotNull { part ->
                part
                    .substringAfter(
                        ':',
                        "",
                    ).trim()
                    .toIntOrNull()
                    ?.let { PromptPart(part.substringBefore(':').trim(), it) }
            }
        return Prompt(ModelName(model), inputTokens = tokenCounts[0], maxOutputTokens = tokenCounts[1], parts = parts)
    }

    /**
     * Headers that are not forwarded. Endpoints must not receive the key, and the id of the event to resume after is
     * set for each endpoint that the request is sent to.
     */
    private val CONSUMED_HEADERS = setOf(PlatformHeaders.API_KEY.lowercase(), PlatformHeaders.LAST_EVENT_ID.lowercase())
}
