/** How endpoints are spoken to, apart from all decisions. */
package lacewingweir.transport.relay

import lacewingweir.state.fleet.EndpointEntry
import lacewingweir.state.id.CustomerId
import lacewingweir.state.id.WeightsNumber
import lacewingweir.transport.http.ClientRequest
import lacewingweir.transport.http.ClientResponse

/**
 * What accompanies a call to [endpoint]. [remainingMillis] is the time that remains for the answer. [cacheSalt] and
 * [weights] are null for plain services; the engine must refuse the call if it has other weights. A lower [priority]
 * is more urgent. The engine copies what it lacks of the prompt from [cacheSource], or goes on with the run of which
 * [cacheCopy] is a copy.
 */
internal class OutboundCall(
    val call: InboundCall,
    val endpoint: EndpointEntry,
    val remainingMillis: Long,
    val headTimeoutMillis: Long,
    val customer: CustomerId?,
    val cacheSalt: String?,
    val weights: WeightsNumber?,
    val priority: Int?,
    val resumeAfter: String?,
    val cacheSource: EndpointEntry?,
    val cacheCopy: KvCacheCopy? = null,
)

/**
 * What the head of an answer says. [notRun] is the endpoint's word that it did not run the request. [matchesRequest]
 * is false if the answer does not name the request. [contentEncoded] bodies are not the endpoint's own bytes. [headers] go
 * back to the caller.
 */
internal class AnswerHead(
    val status: Int,
    val notRun: Boolean,
    val matchesRequest: Boolean,
    val contentEncoded: Boolean,
    val eventStream: Boolean,
    val weights: WeightsNumber?,
    val headers: List<Pair<String, String>>,
) {
    val success: Boolean
        get() = status in 200..299
}

/** Encodes calls to endpoints and reads the heads of their answers. */
internal interface EndpointProtocol {
    fun request(outbound: OutboundCall): ClientRequest

    fun head(
        call: InboundCall,
        response: ClientResponse,
    ): AnswerHead
}
