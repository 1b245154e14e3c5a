/** Encoding of calls to endpoints, and decoding of their responses. */
package lacewingweir.transport.relay

import lacewingweir.state.fleet.EndpointEntry
import lacewingweir.state.fleet.EndpointStatement
import lacewingweir.state.id.CustomerId
import lacewingweir.state.id.WeightsNumber
import lacewingweir.transport.http.ClientRequest
import lacewingweir.transport.http.ClientResponse
import lacewingweir.transport.http.ConnectionUse

/**
 * A call to be sent to [endpoint].
 *
 * [remainingMillis] is the time until the deadline of the call. [cacheSalt], [weights] and [priority] are null for
 * services other than engines. An engine must refuse the call if it runs other weights. A lower [priority] is more
 * urgent. The engine copies the cached prompt parts that it lacks from [cacheSource], or continues the run whose
 * KV cache is in [cacheCopy]. The response must begin after the event [resumeAfter]. [freshConnection] asks for a
 * connection that carries nothing else. [mayGiveUp] is called if no response has begun after [headTimeoutMillis], and
 * returns whether to stop waiting for it. [onSend] is called just before the call is written to a connection,
 * [onResponse] when a response to it has begun, [onSkipped] for each response to another call that is skipped before,
 * and [onFirstEvent] when the answer has begun.
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
    val freshConnection: Boolean = false,
    val mayGiveUp: () -> Boolean = { true },
    val onSend: (ConnectionUse) -> Unit = {},
    val onResponse: () -> Unit = {},
    val onSkipped: () -> Unit = {},
    val onFirstEvent: () -> Unit = {},
)

/**
 * The head of an endpoint's response.
 *
 * [notRun] means that the endpoint states that it did not execute the call. [matchesRequest] is false if the response
 * doesn't carry the id of the call. [contentEncoded] means that the body has a content encoding, so its bytes are not
 * those that the endpoint produced. [requestLimit] is the number of requests per second that the endpoint accepts from
 * all instances together, or null if it states none. [statement] is what else the endpoint says about itself. [headers]
 * are passed on to the caller.
 */
internal class ResponseHead(
    val status: Int,
    val notRun: Boolean,
    val matchesRequest: Boolean,
    val contentEncoded: Boolean,
    val eventStream: Boolean,
    val weights: WeightsNumber?,
    val statement: EndpointStatement = EndpointStatement.NONE,
    val requestLimit: Double? = null,
    val headers: List<Pair<String, String>>,
) {
    val success: Boolean
        get() = status in 200..299
}

/** Encodes calls to endpoints and decodes the heads of their responses. */
internal interface EndpointProtocol {
    fun encodeRequest(outbound: OutboundCall): ClientRequest

    fun decodeHead(
        call: InboundCall,
        response: ClientResponse,
    ): ResponseHead
}
