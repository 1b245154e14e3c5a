package lacewingweir.transport.relay

import lacewingweir.state.fleet.Prompt
import lacewingweir.state.id.KeyDigest
import lacewingweir.state.id.RequestId

/**
 * A caller's request, decoded from the platform's protocol.
 *
 * [target] is the path with the query as received, and [path] is the path alone. [headers] are passed on to the
 * endpoint unchanged. [callerTimeoutMillis] is how long the caller waits, counted from [arrivedAtMillis], or null if
 * the caller specifies no timeout. [prompt] is null for services other than engines. [resumeAfter] is the id of the
 * last event that the caller has received already, and [resumes] is the id of the call that brought its first event.
 */
internal class InboundCall(
    val id: RequestId,
    val method: String,
    val host: String,
    val target: String,
    val path: String,
    val headers: List<Pair<String, String>>,
    val body: ByteArray,
    val keyDigest: KeyDigest?,
    val callerTimeoutMillis: Long?,
    val prompt: Prompt?,
    val resumeAfter: String?,
    val resumes: RequestId? = null,
    val arrivedAtMillis: Long,
)
