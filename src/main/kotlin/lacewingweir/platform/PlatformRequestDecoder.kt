/** Callers' requests and the entry's question whether an instance is ready. */
package lacewingweir.platform

import io.netty.handler.codec.http.HttpHeaderNames
import lacewingweir.state.fleet.Prompt
import lacewingweir.state.fleet.PromptPart
import lacewingweir.state.id.KeyDigest
import lacewingweir.state.id.ModelName
import lacewingweir.state.id.RequestId
import lacewingweir.transport.http.ServerExchange
import lacewingweir.transport.relay.InboundCall

internal object PlatformRequestDecoder {
    /** Decodes a caller's request; null if it is malformed. [nowMillis] is the monotonic time of its arrival. */
    fun decode(
        exchange: ServerExchange,
        nowMillis: Long,
    ): InboundCall? {
        val headers = exchange.headers
        val id = headers.get(PlatformHeaders.REQUEST_ID) ?: return null
        val host = headers.get(HttpHeaderNames.HOST) ?: return null
        val deadline = headers.get(PlatformHeaders.REMAINING_MILLIS)
        return InboundCall(
            id = RequestId(id),
            method = exchange.method,
            host = host.substringBefore(':').lowercase(),
            target = exchange.target,
            path = exchange.rawPath,
            headers = endToEnd(exchange),
            body = exchange.body,
            key = headers.get(PlatformHeaders.API_KEY)?.let { KeyDigest.of(it.trim()) },
            deadlineMillis = deadline?.trim()?.toDoubleOrNull()?.toLong(),
            prompt = prompt(exchange),
            resumeAfter = headers.get(PlatformHeaders.LAST_EVENT_ID),
            arrivedAtMillis = nowMillis,
        )
    }

    private fun endToEnd(exchange: ServerExchange): List<Pair<String, String>> {
        val named =
            exchange.headers
                .getAll(HttpHeaderNames.CONNECTION)
                .flatMap {
                    it.split(',')
                }.mapTo(HashSet()) { it.trim().lowercase() }
        return exchange.headers
            .entries()
            .filter { (name) ->
                val lower = name.lowercase()
                lower !in HopByHopHeaders.names &&
                    lower !in named &&
                    lower !in PlatformHeaders.reservedForInstances &&
                    lower !in OWN
            }.map { it.key to it.value }
    }

    private fun prompt(exchange: ServerExchange): Prompt? {
        val model = exchange.headers.get(PlatformHeaders.MODEL) ?: return null
        val counts =
            exchange.headers
                .get(PlatformHeaders.TOKEN_COUNTS)
                ?.split(',')
                ?.mapNotNull {
                    it.trim().toLongOrNull()
                }.orEmpty()
        if (counts.size != 2) return null
        val parts =
            exchange.headers.get(PlatformHeaders.PROMPT_PARTS).orEmpty().split(',').mapNotNull { entry ->
                entry
                    .substringAfter(
                        ':',
                        "",
                    ).trim()
                    .toIntOrNull()
                    ?.let { PromptPart(entry.substringBefore(':').trim(), it) }
            }
        return Prompt(ModelName(model), inputTokens = counts[0], maxOutputTokens = counts[1], parts = parts)
    }

    /** Consumed here: the key goes no further, and the id to resume after is set anew for each send. */
    private val OWN = setOf(PlatformHeaders.API_KEY.lowercase(), PlatformHeaders.LAST_EVENT_ID.lowercase())
}
